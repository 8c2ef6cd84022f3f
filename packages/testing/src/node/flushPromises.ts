/** Lets every promise callback that is ready run, so that client code keeps up with virtual time. */
export async function flushPromises (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
