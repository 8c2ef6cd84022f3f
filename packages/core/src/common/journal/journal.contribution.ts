/** Registers the journal of this node and the reader of journals. */
import { registerPlugin } from '../kernel/plugin.js'
import { IJournal, Journal } from './journal.js'
import { IJournalReader, JournalReader } from './journalReader.js'

registerPlugin({
  name: 'journal',
  register (container) {
    container.registerSingleton(IJournal, Journal)
    container.registerSingleton(IJournalReader, JournalReader)
  }
})
