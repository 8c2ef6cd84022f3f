import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type IBackends, type IConfiguration, type ILogger, type IMembership, type IOutliers, type IQuarantine, type IRandom, type IRetryBudget, type ITimers, type CoreSettings, ServiceDispatch } from '@trefoilshunt/core'

/** Runs a call that a worker answers with a status; returns the fingerprints whose suspicion was cleared. */
function runCall (status: number): string[] {
  const cleared: string[] = []
  const dispatch = new ServiceDispatch(
    { maxAttempts: 3, retryBackoffMs: 10 } as CoreSettings,
    { nowMs: () => 0 },
    {} as unknown as ITimers,
    { sample: (items: unknown[]) => items.slice(0, 1) } as unknown as IRandom,
    { call: (_worker: unknown, _request: unknown, _timeoutMs: number, onEvent: (event: unknown) => void) => onEvent({ type: 'serviceDone', result: { type: 'service', status, body: null } }) } as unknown as IBackends,
    { findBackend: () => undefined } as unknown as IConfiguration,
    { workers: () => [{ worker: 'w1' }] } as unknown as IMembership,
    { recordFirstAttempt: () => {} } as unknown as IRetryBudget,
    { isEjected: () => false, recordSuccess: () => {} } as unknown as IOutliers,
    { crashedWorkers: () => [], isQuarantined: () => false, recordRequestSuccess: (fingerprint: string) => cleared.push(fingerprint) } as unknown as IQuarantine,
    {} as unknown as ILogger
  )
  dispatch.run({ programId: 'p', customer: 'c', call: { type: 'service', service: 's', path: '/', body: {}, isRepeatable: true }, idempotencyKey: 'k', fingerprint: 'f', deadlineMs: 1_000, onDone: () => {} })
  return cleared
}

test('only a success of a service clears the suspicion against a request', () => {
  assert.equal(runCall(200), ['f'])
  for (const status of [400, 429, 500, 503]) assert.equal(runCall(status), [], `status ${status}`)
})

test.run()
