package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Syllables of generated words.
const (
	consonants      = "bcdfghjklmnprstvz"
	vowels          = "aeiou"
	syllablesInWord = 4
)

// Token returns token i of the answer to a prompt. It is a pure function, the
// same on every engine: one word with a trailing space.
func Token(model, prompt string, i int) string {
	return tokenOf(answerSeed(model, prompt), i)
}

// answerSeed hashes model and prompt.
func answerSeed(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

func tokenOf(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	bits := xxhash.Sum64(key[:])
	word := make([]byte, 0, 2*syllablesInWord+1)
	for range syllablesInWord {
		word = append(word, consonants[bits%uint64(len(consonants))])
		bits /= uint64(len(consonants))
		word = append(word, vowels[bits%uint64(len(vowels))])
		bits /= uint64(len(vowels))
	}
	return string(append(word, ' '))
}
