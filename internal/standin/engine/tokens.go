package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Parts of generated words; a syllable is a consonant and a vowel.
const (
	consonants       = "bcdfghjklmnprstvz"
	vowels           = "aeiou"
	syllablesPerWord = 4
)

// Token returns token i of the answer to a prompt: one word with a trailing
// space. It is a pure function, so that every engine generates the same answer.
func Token(model, prompt string, i int) string {
	return tokenFromSeed(answerSeed(model, prompt), i)
}

// answerSeed derives the seed of an answer from model and prompt.
func answerSeed(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// tokenFromSeed returns token i of the answer with this seed.
func tokenFromSeed(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	bits := xxhash.Sum64(key[:])
	word := make([]byte, 0, 2*syllablesPerWord+1)
	for range syllablesPerWord {
		word = append(word, consonants[bits%uint64(len(consonants))])
		bits /= uint64(len(consonants))
		word = append(word, vowels[bits%uint64(len(vowels))])
		bits /= uint64(len(vowels))
	}
	return string(append(word, ' '))
}
