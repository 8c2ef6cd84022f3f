/** The text that the model engine stand-in generates: a function of the last message, so that checkers can tell whose answer it is. */
import { type ChatMessage, hash32 } from '@trefoilshunt/core'

const TOKEN_CHARACTERS = 4
const TOKEN_RADIX = 36
const DEFAULT_ANSWER_TOKENS = 60
const LENGTH_PATTERN = /\[\[tokens=(\d+)\]\]/
const POISON_MARK = '[[poison]]'

/** Makes a message that asks the stand-in for an answer of a given length. */
export function toPrompt (text: string, answerTokens: number): string {
  return `${text} [[tokens=${answerTokens}]]`
}

/** Marks a message so that an engine crashes when it runs it. */
export function toPoisonPrompt (text: string): string {
  return `${text} ${POISON_MARK}`
}

export function isPoison (messages: ChatMessage[]): boolean {
  return messages.some(message => message.role !== 'assistant' && message.content.includes(POISON_MARK))
}

/** Number of tokens that the last prompt asks for. */
export function answerLength (prompt: string): number {
  const match = LENGTH_PATTERN.exec(prompt)
  return match === null ? DEFAULT_ANSWER_TOKENS : Number(match[1])
}

/** One token of the answer to a prompt; always four characters. */
export function answerToken (promptHash: number, index: number): string {
  const word = ((promptHash ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0).toString(TOKEN_RADIX)
  return word.padStart(TOKEN_CHARACTERS, 'x').slice(-TOKEN_CHARACTERS + 1) + ' '
}

/** The first `tokens` tokens of the answer to a prompt. */
export function expectedAnswer (prompt: string, tokens: number): string {
  const promptHash = hash32(prompt)
  let text = ''
  for (let index = 0; index < tokens; index++) text += answerToken(promptHash, index)
  return text
}

/** Tokens of a text, four characters each. */
export function tokensOf (text: string): number {
  return Math.ceil(text.length / TOKEN_CHARACTERS)
}
