/** `trefoilshunt standins`: the platform and back ends on fixed loopback ports, for a daemon that is started by hand. */
import { type ConfigurationDocument, VmRole, VmState } from '@trefoilshunt/core'
import { createToolDatabase, EngineServer, PlatformServer, ToolServer } from '@trefoilshunt/standins'
import { ExitCode } from '../common/exitCodes.js'
import { readDocument } from './files.js'
import { printError } from './output.js'

export interface StandinsOptions {
  document: string
  port: number
  workers: number
  zone: string
  /** Entry VMs for the VM list, as NAME:ZONE:CALLERPORT:PEERPORT. */
  node: string[]
}

/** Serves until the process is told to stop. */
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
