/** The text that the model engine stand-in generates. It depends only on the last prompt, so a checker can tell which request an answer belongs to. */
import { type ChatMessage, hash32 } from '@trefoilshunt/core'

const CHARACTERS_PER_TOKEN = 4
const TOKEN_RADIX = 36
const DEFAULT_ANSWER_TOKENS = 60
const LENGTH_PATTERN = /\[\[tokens=(\d+)\]\]/
const POISON_MARK = '[[poison]]'

/** Makes a message that requests an answer of `answerTokens` tokens from the stand-in. */
export function toPrompt (text: string, answerTokens: number): string {
  return `${text} [[tokens=${answerTokens}]]`
}

/** Marks a message so that an engine crashes when it processes it. */
export function toPoisonPrompt (text: string): string {
  return `${text} ${POISON_MARK}`
}

/** Whether a message crashes the engine; answers of the model are not checked. */
export function isPoison (messages: ChatMessage[]): boolean {
  return messages.some(message => message.role !== 'assistant' && message.content.includes(POISON_MARK))
}

/** Number of tokens that a prompt requests, 60 if it does not say. */
export function requestedAnswerTokens (prompt: string): number {
  const match = LENGTH_PATTERN.exec(prompt)
  return match === null ? DEFAULT_ANSWER_TOKENS : Number(match[1])
}

/** One token of the answer to a prompt: three characters and a space. The hash of the prompt is mixed with the multiplier of Fibonacci hashing. */
export function answerToken (promptHash: number, index: number): string {
  const digits = ((promptHash ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0).toString(TOKEN_RADIX)
  return digits.padStart(CHARACTERS_PER_TOKEN, 'x').slice(-CHARACTERS_PER_TOKEN + 1) + ' '
}

/** The first `tokens` tokens of the answer to a prompt. */
export function expectedAnswer (prompt: string, tokens: number): string {
  const promptHash = hash32(prompt)
  let text = ''
  for (let index = 0; index < tokens; index++) text += answerToken(promptHash, index)
  return text
}

/** Number of tokens of a text, four characters each, rounded up. */
export function countTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}
