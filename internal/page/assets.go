package page

import (
	_ "embed" // for the go:embed directives below

	"github.com/valyala/fasthttp"
)

//go:embed assets/index.html
var indexHTML []byte

//go:embed assets/page.css
var pageCSS []byte

//go:embed assets/page.js
var pageJS []byte

//go:embed assets/sheet.js
var sheetJS []byte

// asset is one embedded file.
type asset struct {
	contentType string
	content     []byte
}

// assets holds the embedded files by path.
var assets = map[string]asset{
	"/":         {"text/html; charset=utf-8", indexHTML},
	"/page.css": {"text/css; charset=utf-8", pageCSS},
	"/page.js":  {"text/javascript; charset=utf-8", pageJS},
	"/sheet.js": {"text/javascript; charset=utf-8", sheetJS},
}

func (a asset) serve(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(a.contentType)
	ctx.SetBody(a.content)
}
