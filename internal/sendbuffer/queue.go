package sendbuffer

// minPieceCapacity is the minimum capacity of a piece in bytes, so that small writes, such as those of events, share one.
const minPieceCapacity = 2 << 10

// pieceCapacity returns the capacity in bytes of a piece that starts with this many bytes.
func pieceCapacity(bytes int) int64 { return int64(max(bytes, minPieceCapacity)) }

// queue holds the bytes that are to be sent, in order.
type queue struct {
	pieces   []piece
	reserved int64 // sum of the capacities of all pieces, which is reserved in the budget
}

// piece holds consecutive bytes of an answer and free capacity for more.
type piece struct {
	data     []byte
	sent     int // number of bytes of data that are sent
	capacity int64
	request  string // request whose answer data is part of
}

// append adds data to the last piece. It returns false if there is no piece with sufficient free capacity.
func (q *queue) append(data []byte) bool {
	if len(q.pieces) == 0 {
		return false
	}
	last := &q.pieces[len(q.pieces)-1]
	if int64(len(last.data)+len(data)) > last.capacity {
		return false
	}
	last.data = append(last.data, data...)
	return true
}

// push adds a piece that starts with data.
func (q *queue) push(data []byte, capacity int64, request string) {
	q.pieces = append(q.pieces, piece{data: append(make([]byte, 0, capacity), data...), capacity: capacity, request: request})
	q.reserved += capacity
}

// next returns the unsent bytes of the first piece, which are sent next.
func (q *queue) next() []byte {
	if len(q.pieces) == 0 {
		return nil
	}
	return q.pieces[0].data[q.pieces[0].sent:]
}

// advance removes sent bytes from the first piece. It returns the capacity that this frees: that of the piece if all of it
// is sent, otherwise 0.
func (q *queue) advance(bytes int) (capacity int64) {
	first := &q.pieces[0]
	first.sent += bytes
	if first.sent < len(first.data) {
		return 0
	}
	capacity = first.capacity
	q.pieces[0] = piece{}
	if q.pieces = q.pieces[1:]; len(q.pieces) == 0 {
		q.pieces = nil
	}
	q.reserved -= capacity
	return capacity
}

// discard removes all pieces and returns the capacity that this frees.
func (q *queue) discard() (capacity int64) {
	capacity, q.pieces, q.reserved = q.reserved, nil, 0
	return capacity
}

// unsentBytes returns how many bytes are to be sent.
func (q *queue) unsentBytes() (sum int64) {
	for i := range q.pieces {
		sum += int64(len(q.pieces[i].data) - q.pieces[i].sent)
	}
	return sum
}

// nextRequest returns the request whose answer is sent next, or fallback if nothing is to be sent.
func (q *queue) nextRequest(fallback string) string {
	if len(q.pieces) == 0 {
		return fallback
	}
	return q.pieces[0].request
}
