/** `trefoilshunt standins`: stand-ins for the platform and the back ends on loopback, for daemons that are started by hand. */
import { type ConfigurationDocument, VmRole, VmState } from '@trefoilshunt/core'
import { createToolDatabase, EngineServer, PlatformServer, ToolServer } from '@trefoilshunt/standins'
import { ExitCode } from '../common/exitCodes.js'
import { readDocument } from './files.js'
import { printError } from './output.js'

/** Options of `trefoilshunt standins`. */
export interface StandinsOptions {
  /** File of the document whose back ends are served. */
  document: string
  /** Port of the log service and the VM list; workers get free ports. */
  port: number
  /** Workers of each back end. */
  workers: number
  /** Availability zone of the workers. */
  zone: string
  /** Entry VMs for the VM list, as NAME:ZONE:CALLERPORT:PEERPORT. */
  node: string[]
}

/** Serves until SIGTERM or SIGINT, then ends the process. */
export async function runStandins (options: StandinsOptions): Promise<void> {
  const document = readDocument(options.document)
  if (document.isLeft()) return printError((document.extract() as string[]).join('\n'), ExitCode.Usage)
  const platform = new PlatformServer()
  await platform.server.listen(options.port)
  process.stdout.write(`log service and VM list on ${platform.server.address}\n`)
  for (const backend of (document.extract() as ConfigurationDocument).backends) {
    const database = createToolDatabase()
    for (let index = 1; index <= options.workers; index++) {
      const name = `${backend.name}-${index}`
      const standin = backend.type === 'modelEngine' ? new EngineServer({ name, model: backend.name }) : new ToolServer({ name, checksIdempotencyKeys: backend.checksIdempotencyKeys }, database)
      await standin.server.listen()
      platform.vmList.put({ name, role: backend.type === 'modelEngine' ? VmRole.Engine : VmRole.Service, zone: options.zone, address: standin.server.address, backend: backend.name, state: VmState.Live })
      process.stdout.write(`${name} on ${standin.server.address}\n`)
    }
  }
  for (const text of options.node) {
    const [name, zone, callerPort, peerPort] = text.split(':')
    platform.vmList.put({ name, role: VmRole.Entry, zone, address: `127.0.0.1:${callerPort}`, peerAddress: `127.0.0.1:${peerPort}`, state: VmState.Live })
  }
  platform.vmList.publishNow()
  await new Promise<void>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => resolve())
  })
  process.exit(ExitCode.Ok)
}
