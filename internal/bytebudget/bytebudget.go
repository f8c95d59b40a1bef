// Package bytebudget limits the bytes that a process holds in memory for its callers and replicas. Many large bodies
// at once, or many answers that are read slowly, are harmless one by one but together exceed the process's memory.
// Code that is about to hold bytes reserves them first and releases them in one place. A body that does not fit is
// refused before it is read.
package bytebudget

// Class is the purpose that bytes are held for. When the budget runs short, reservations of the last class in this
// order are refused first.
type Class uint8

// Classes of held bytes.
const (
	Stream    Class = iota // parts of answers that wait for callers that read more slowly than the replica sends
	Answer                 // answers that are buffered whole
	Body                   // request bodies of up to smallBody bytes
	Listing                // results of batch jobs that are being sent to readers
	LargeBody              // request bodies of more than smallBody bytes
	classCount
)

// smallBody is the largest size, in bytes, of a small body. Bodies of this size cannot fill the budget, whatever
// number of callers a gateway serves at once.
const smallBody = 64 << 10

// BodyClass returns the class for a request body of the given size in bytes.
func BodyClass(bytes int64) Class {
	if bytes > smallBody {
		return LargeBody
	}
	return Body
}

// String returns the name of the class in metrics.
func (c Class) String() string {
	return [...]string{Stream: "stream", Answer: "answer", Body: "body", Listing: "listing", LargeBody: "large_body"}[c]
}

// Reserver reserves bytes before they are held in memory.
type Reserver interface {
	// Reserve counts bytes as held. It returns false, and counts nothing, if they do not fit.
	Reserve(class Class, bytes int64) bool
	// Release returns reserved bytes.
	Release(class Class, bytes int64)
}

// Limits of a budget.
const (
	// memoryDivisor is the divisor of a process's memory that gives the limit for bytes held for callers and replicas.
	// Together with the process's own needs the limit stays below the garbage collector's memory limit, see package
	// memlimit.
	memoryDivisor = 3
	// unknownMemoryLimit is the limit, in bytes, of a process whose memory is not configured because it has a machine
	// of its own.
	unknownMemoryLimit = 1 << 30
)

// LimitFor returns the limit, in bytes, for a process that may use memoryBytes of memory. 0 means that the memory is
// not known.
func LimitFor(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return unknownMemoryLimit
	}
	return memoryBytes / memoryDivisor
}

// classShare bounds the reservations of a class, in percent of the limit.
type classShare struct {
	totalPercent int64 // of all classes together, including the new reservation
	ownPercent   int64 // of this class
}

// shares refuses new work well before work in progress: new work can be sent elsewhere, while an answer that is lost
// takes its work with it. The classes for answers that callers have not read yet are bounded so that small bodies
// still fit.
var shares = [classCount]classShare{Stream: {100, 40}, Answer: {95, 40}, Body: {90, 90}, Listing: {85, 40}, LargeBody: {80, 80}}

// percentOf returns a percentage of a limit.
func percentOf(limit, part int64) int64 { return limit * part / 100 }
