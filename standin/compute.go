package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// vocabulary is the number of token ids.
	vocabulary = 8192
	// endEvery is the average number of tokens after which an answer ends: one token id in so many means the end.
	endEvery = 512
)

// Model is a fake model: hash functions over the layers take the place of matrices, so that an answer is a pure function of
// the model's name, version, number of layers and the prompt.
type Model struct {
	name    string
	version string
	layers  int
}

// NewModel returns a Model with the given name, version and number of layers.
func NewModel(name, version string, layers int) Model {
	return Model{name: name, version: version, layers: layers}
}

func (m Model) seed() uint64 { return xxhash.Sum64String(m.name + "@" + m.version) }

// Tokens returns the token ids of a text: a start token and one token for each word.
func Tokens(text string) []uint64 {
	words := strings.Fields(text)
	out := make([]uint64, 0, len(words)+1)
	out = append(out, 1)
	for _, w := range words {
		out = append(out, xxhash.Sum64String(w)%vocabulary)
	}
	return out
}

// Piece returns the text of a token.
func Piece(token uint64) string { return " w" + strconv.FormatUint(token, 36) }

// Ends reports whether the token is one that ends an answer.
func Ends(token uint64) bool { return token%endEvery == endEvery-1 }

// Answer computes the expected answer to a prompt without engines: its text, its number of tokens, and whether an end token
// ended it before limit tokens.
func (m Model) Answer(prompt string, limit int) (text string, tokens int, ended bool) {
	cache := make([]uint64, m.layers)
	var activation uint64
	for _, t := range Tokens(prompt) {
		activation = m.runLayers(cache, 0, t)
	}
	var b strings.Builder
	for n := 1; ; n++ {
		token := activation % vocabulary
		if Ends(token) {
			return b.String(), n - 1, true
		}
		b.WriteString(Piece(token))
		if n == limit {
			return b.String(), n, false
		}
		activation = m.runLayers(cache, 0, token)
	}
}

// runLayers computes one position in the layers from first on, as many as cache has entries. It updates the cache, which stands
// for the KV cache, and returns the activation after the last layer.
func (m Model) runLayers(cache []uint64, first int, activation uint64) uint64 {
	seed := m.seed()
	for i := range cache {
		layer := uint64(first + i + 1)
		cache[i] = scramble(cache[i] ^ activation ^ layer*0x9e3779b97f4a7c15)
		activation = scramble(activation ^ cache[i] ^ seed ^ layer)
	}
	return activation
}

// scramble is the finalizer of the splitmix64 generator.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
