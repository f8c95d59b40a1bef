package text

import "strings"

// tokenBytes is an upper estimate of a token's average size in bytes, for sizing buffers.
const tokenBytes = 7

// words is the vocabulary. Every word consists of lower-case letters and one trailing space.
var words = strings.SplitAfter(vocabulary, " ")

const vocabulary = "about after again along also among apple apron arch arrow ash aunt autumn badge baker barn " +
	"basil basket beach bench berry birch bird blue boat bread bridge brook broom brown button cabin candle carpet " +
	"cedar chair cherry clay cliff cloud clover coat comb copper corn cotton crane cream creek crow cup dawn day " +
	"deer desk dew door dove drum dune dusk earth east echo edge elm ember fern field fig finch fire fish flag flax " +
	"flour fog fox frost garden gate glass glove gold goose grain grape grass green grove hall harbor hat hawk hay " +
	"hazel hedge heron hill honey hour house ice iron island ivy jar jasmine jug june kettle kite lake lamp lane " +
	"lantern lark leaf lemon light lilac lime linen lion loaf maple march meadow milk mill mint mist moon moss " +
	"mountain nest night north oak oat ocean olive onion orange orchard otter owl oyster paper path peach pear " +
	"pebble pepper pine plum pond poppy prairie quail quartz quiet quilt rain raven reed ribbon river road robin " +
	"roof rose rust sage sail salt sand seed shade shell ship shore silk silver sky snow soap south sparrow spoon " +
	"spring square star stone storm stream summer sun swan table tea thistle thyme tide timber tower town trail " +
	"tree tulip valley vine violet wagon walnut water wave west wheat willow wind window winter wolf wood wool yard "

// SplitAfter leaves an empty string after the last space.
func init() { words = words[:len(words)-1] }
