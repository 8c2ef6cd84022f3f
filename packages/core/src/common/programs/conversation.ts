/** Builds the conversation that a model engine gets from the recorded turns. */
import type { ChatMessage } from '../kernel/callerMessages.js'
import type { RecordedTurn } from './programState.js'

/** All messages of the model turns, each followed by its answer, then the new messages. */
export function toConversation (turns: RecordedTurn[], newMessages: ChatMessage[]): ChatMessage[] {
  const conversation: ChatMessage[] = []
  for (const { call, result } of turns) {
    if (call.type !== 'model' || result.type !== 'model') continue
    conversation.push(...call.messages, { role: 'assistant', content: result.text })
  }
  conversation.push(...newMessages)
  return conversation
}
