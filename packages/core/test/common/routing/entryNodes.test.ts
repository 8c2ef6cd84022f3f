import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { chooseEntryNodes, DEFAULT_ENTRY_NODES, type EntryNode } from '@trefoilshunt/core'

const LARGE_CORES = 1.35
const SMALL_CORES = 0.324

function createNodes (count: number, cores: number, busyShare: number): EntryNode[] {
  return Array.from({ length: count }, (_, index) => ({ callerAddress: `${cores}-${index}`, cores, busyShare }))
}

const sizesOf = (nodes: EntryNode[]): number[] => [...new Set(nodes.map(({ cores }) => cores))]

test('callers of a zone with 8 large and 31 small nodes connect to the large ones', () => {
  const chosen = chooseEntryNodes([...createNodes(31, SMALL_CORES, 0.2), ...createNodes(8, LARGE_CORES, 0.2)])
  assert.is(chosen.length, 8)
  assert.equal(sizesOf(chosen), [LARGE_CORES])
})

test('small nodes help while the large ones would be busy for more than half of their time', () => {
  const chosen = chooseEntryNodes([...createNodes(31, SMALL_CORES, 0.1), ...createNodes(8, LARGE_CORES, 0.6)])
  assert.is(chosen.length, 39)
})

test('the work of small nodes counts although it will be done by large ones', () => {
  assert.is(chooseEntryNodes([...createNodes(31, SMALL_CORES, 0.8), ...createNodes(8, LARGE_CORES, 0)]).length, 39)
})

test('small nodes help when few large ones are left', () => {
  assert.is(chooseEntryNodes([...createNodes(31, SMALL_CORES, 0.1), ...createNodes(3, LARGE_CORES, 0.1)]).length, 34)
})

test('all nodes of a zone with one size are chosen, whatever they do', () => {
  assert.is(chooseEntryNodes(createNodes(9, LARGE_CORES, 0.05)).length, 9)
  assert.is(chooseEntryNodes(createNodes(9, LARGE_CORES, 0.95)).length, 9)
})

test('the chosen nodes have room for the work of all, or are all nodes; no node is left out that is as large as one of them', () => {
  const nodes = fc.array(fc.record({ callerAddress: fc.string(), cores: fc.constantFrom(SMALL_CORES, 0.675, 1, LARGE_CORES), busyShare: fc.double({ min: 0, max: 1, noNaN: true }) }))
  fc.assert(fc.property(nodes, drawn => {
    const chosen = chooseEntryNodes(drawn)
    const work = drawn.reduce((total, { cores, busyShare }) => total + cores * busyShare, 0)
    const capacity = chosen.reduce((total, { cores }) => total + cores * DEFAULT_ENTRY_NODES.maxBusyShare, 0)
    assert.ok(chosen.length === drawn.length || (capacity >= work && chosen.length >= DEFAULT_ENTRY_NODES.minNodes))
    const smallest = Math.min(...chosen.map(({ cores }) => cores))
    assert.is(drawn.filter(({ cores }) => cores >= smallest).length, chosen.length)
  }))
})

test.run()
