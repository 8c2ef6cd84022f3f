/** Runs every promise callback that is ready, so that client code advances before the next virtual event. */
export async function flushPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
