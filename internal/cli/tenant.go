package cli

import (
	"context"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// tenantListCommand prints the tenants.
type tenantListCommand struct {
	controlAccess
}

// Run prints the tenants with the first digits of their keys' digests.
func (c *tenantListCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		return operator.WriteTenants(environment.Stdout, sheet)
	})
}

// tenantName is the argument of the commands on one tenant.
type tenantName struct {
	Arguments struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// planWithNewKey plans a change with a new key. The key is printed before the change is sent: if the answer is lost,
// running the same command again resends that change, which holds the printed key's digest.
func planWithNewKey(environment Environment, dryRun bool, plan func(key string) (*operator.Plan, error)) (*operator.Plan, error) {
	key := operator.NewKey()
	planned, err := plan(key)
	if err == nil && !dryRun {
		fmt.Fprintf(environment.Stdout, "key (shown this once): %s\n", key)
	}
	return planned, err
}

// tenantAddCommand creates a tenant with one key.
type tenantAddCommand struct {
	changeFlags
	Priority string `long:"priority" value-name:"RANK" description:"Rank of its requests, 0 to 255, before that of their routes"`
	tenantName
}

// Run adds the tenant and prints its key.
func (c *tenantAddCommand) Run(environment Environment, _ []string) error {
	request := fmt.Sprintf("tenant add\x00%s\x00%s", c.Arguments.Name, c.Priority)
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return planWithNewKey(environment, c.DryRun, func(key string) (*operator.Plan, error) {
			return operator.PlanTenantAdd(sheet, c.Arguments.Name, key, c.Priority)
		})
	})
}

// tenantRotateCommand adds a key to a tenant. The present keys stay valid.
type tenantRotateCommand struct {
	changeFlags
	tenantName
}

// Run adds a key to the present ones and prints it.
func (c *tenantRotateCommand) Run(environment Environment, _ []string) error {
	request := "tenant rotate\x00" + c.Arguments.Name
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return planWithNewKey(environment, c.DryRun, func(key string) (*operator.Plan, error) {
			return operator.PlanTenantRotate(sheet, c.Arguments.Name, key)
		})
	})
}

// tenantRevokeCommand revokes keys of a tenant.
type tenantRevokeCommand struct {
	changeFlags
	Digest string `long:"digest" value-name:"PREFIX" description:"Beginning of the digest of the one key that is taken away"`
	All    bool   `long:"all" description:"Take all keys away"`
	tenantName
}

// Run revokes one key or all keys.
func (c *tenantRevokeCommand) Run(environment Environment, _ []string) error {
	if c.All == (c.Digest != "") {
		return &ExitError{Code: ExitUsage, Message: "name the key with --digest, or --all"}
	}
	request := fmt.Sprintf("tenant revoke\x00%s\x00%s\x00%t", c.Arguments.Name, c.Digest, c.All)
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanTenantRevoke(sheet, c.Arguments.Name, c.Digest)
	})
}

// tenantSetCommand changes a tenant's weight and quota.
type tenantSetCommand struct {
	changeFlags
	Weight      string `long:"weight" value-name:"WEIGHT" description:"Share where requests of several tenants wait, 1 to 1000"`
	Rate        string `long:"rate" value-name:"REQUESTS" description:"Requests a second over all gateways; 0 for no limit"`
	Burst       string `long:"burst" value-name:"REQUESTS" description:"Requests at once beyond the rate; 0 for those of a second"`
	Concurrency string `long:"concurrency" value-name:"REQUESTS" description:"Requests in flight over all gateways; 0 for no limit"`
	tenantName
}

// Run sets the limits that are given and leaves the others.
func (c *tenantSetCommand) Run(environment Environment, _ []string) error {
	limits := operator.TenantLimits{Weight: c.Weight, Rate: c.Rate, Burst: c.Burst, Concurrency: c.Concurrency}
	if limits == (operator.TenantLimits{}) {
		return &ExitError{Code: ExitUsage, Message: "name at least one of --weight, --rate, --burst and --concurrency"}
	}
	request := fmt.Sprintf("tenant set\x00%s\x00%+v", c.Arguments.Name, limits)
	return c.submitChange(environment, request, func(ctx context.Context, client *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		level, err := operator.ReadLevel(ctx, client)
		if err != nil {
			return nil, err
		}
		return operator.PlanTenantSet(sheet, c.Arguments.Name, limits, level)
	})
}
