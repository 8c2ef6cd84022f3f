/** Tests from whom and how often a node fetches a document that its peers have and the log has not brought. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'
import { DocumentCatchUp } from '../../../src/node/routed/documentCatchUp.js'

const PEER_COUNT = 194

function createCatchUp (fetch: (peer: string, setVersion: (version: number) => void) => Promise<void>): { catchUp: DocumentCatchUp, setVersion: (version: number) => void, fetchedFrom: string[] } {
  let currentVersion = 1
  const setVersion = (version: number): void => { currentVersion = version }
  const fetchedFrom: string[] = []
  const catchUp = new DocumentCatchUp({
    currentVersion: () => currentVersion,
    fetch: async peer => {
      fetchedFrom.push(peer)
      await fetch(peer, setVersion)
    },
    random: new SeededRandom(1)
  })
  return { catchUp, setVersion, fetchedFrom }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

function tellAll (catchUp: DocumentCatchUp): void {
  for (let index = 0; index < PEER_COUNT; index++) catchUp.handlePeerVersion(`n${index}`, 2)
}

test('a version of which all peers tell is fetched once', async () => {
  const { catchUp, fetchedFrom } = createCatchUp(async (_peer, setVersion) => {
    await pause(50)
    setVersion(2)
  })
  tellAll(catchUp)
  assert.is(catchUp.isBehind, true)
  await pause(450)
  tellAll(catchUp)
  assert.is(fetchedFrom.length, 1)
  assert.is(catchUp.isBehind, false)
})

test('nothing is fetched of a version that the log brings in time', async () => {
  const { catchUp, setVersion, fetchedFrom } = createCatchUp(async () => {})
  tellAll(catchUp)
  await pause(100)
  setVersion(2)
  await pause(400)
  assert.equal(fetchedFrom, [])
})

test('after a peer that did not send it, another one is asked', async () => {
  const { catchUp, fetchedFrom } = createCatchUp(async (_peer, setVersion) => { if (fetchedFrom.length === 2) setVersion(2) })
  tellAll(catchUp)
  await pause(900)
  assert.is(new Set(fetchedFrom).size, 2)
})

test.run()
