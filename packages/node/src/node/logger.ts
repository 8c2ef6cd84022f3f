/** The event log of a node, written through tslog. */
import { type ILogObjMeta, Logger } from 'tslog'
import type { LogFields, LogLevel } from '@trefoilshunt/core'
import { formatLogLine } from '../common/logLine.js'

/** Numbers that tslog uses for the levels; `silent` is above all of them. */
const TSLOG_LEVELS = { info: 3, warn: 4, error: 5, silent: 7 } as const

/** Destination of log events. */
export interface IEventLog {
  write (level: LogLevel, event: string, fields: LogFields): void
}

/** Writes each event as one line of key=value pairs, by default to standard error because standard output is for results. */
export class EventLog implements IEventLog {
  private readonly _logger: Logger<unknown[]>

  constructor (minLevel: keyof typeof TSLOG_LEVELS, private readonly _writeLine: (line: string) => void = line => process.stderr.write(line)) {
    this._logger = new Logger({
      type: 'pretty',
      minLevel: TSLOG_LEVELS[minLevel],
      stylePrettyLogs: false,
      hideLogPositionForProduction: true,
      prettyLogTemplate: '',
      // The line is complete; masking, run-time details and styles took half of the time of a line.
      overwrite: {
        mask: args => args,
        toLogObj: args => args,
        addMeta: args => args as unknown[] & ILogObjMeta,
        formatMeta: () => '',
        formatLogObj: args => ({ args, errors: [] }),
        transportFormatted: (_meta, args) => this._writeLine(`${args.join(' ')}\n`)
      }
    })
  }

  write (level: LogLevel, event: string, fields: LogFields): void {
    const line = formatLogLine(level, event, fields, new Date().toISOString())
    if (level === 'error') this._logger.error(line)
    else if (level === 'warn') this._logger.warn(line)
    else this._logger.info(line)
  }
}
