/** Checks whether an address accepts connections. */
import { createConnection } from 'node:net'
import { ProbeResult } from '@trefoilshunt/core'
import { isSocketAddress, splitAddress } from '../peerMesh.js'

const REFUSED_CODE = 'ECONNREFUSED'

/**
 * Opens a connection and closes it again without sending anything; errors other than a refusal, and addresses that are none, count as silence.
 *
 * @example
 * await probeConnection('10.2.64.23:8082', 200) // 'connected'
 */
export async function probeConnection (address: string, timeoutMs: number): Promise<ProbeResult> {
  if (!isSocketAddress(address)) return ProbeResult.Silent
  return await new Promise(resolve => {
    const socket = createConnection(splitAddress(address))
    const settle = (result: ProbeResult): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    // A stalled event loop runs timers before it sees connections; those get a chance first.
    const timer = setTimeout(() => setImmediate(() => settle(ProbeResult.Silent)), timeoutMs)
    socket.on('connect', () => settle(ProbeResult.Connected))
    socket.on('error', error => settle((error as NodeJS.ErrnoException).code === REFUSED_CODE ? ProbeResult.Refused : ProbeResult.Silent))
  })
}
