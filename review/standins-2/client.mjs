/** A client of the system: one request on a connection of its own. */
import { Agent, request as callHttp } from 'node:http'

let count = 0

/** A new id of a client attempt. */
export function newId () {
  return (++count).toString(16).padStart(8, '0') + Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0')
}

/** Sends a request; resolves to status, headers and body, with `isWhole` false if the answer broke off. */
export async function send (address, { method = 'POST', path, headers, body = '', localAddress, timeoutMs = 5_000, agent = false }) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const startedMs = performance.now()
    const end = fields => resolve({ status: 0, headers: {}, body: '', isWhole: false, tookMs: Math.round(performance.now() - startedMs), ...fields })
    const request = callHttp({ host, port: Number(port), localAddress, method, path, agent, headers: { ...headers, 'content-length': Buffer.byteLength(body) } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      const received = () => ({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString('latin1') })
      response.on('error', error => end({ ...received(), detail: error.code }))
      response.on('end', () => end({ ...received(), isWhole: response.complete }))
    })
    request.setTimeout(timeoutMs, () => request.destroy(new Error('timeout')))
    request.on('error', error => end({ detail: error.code ?? error.message }))
    request.end(body)
  })
}

/** Keeps up to `maxSockets` connections open. */
export function keepAlive (maxSockets) {
  return new Agent({ keepAlive: true, maxSockets })
}
