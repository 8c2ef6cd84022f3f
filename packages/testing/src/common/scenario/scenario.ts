/** The scenario language: a fleet, a workload, timed faults and what must hold, in JSON with comments. */
import { z } from 'zod'
import { AppendFault } from '@trefoilshunt/standins'

const timeMs = z.number().nonnegative()
const machine = z.string().min(1)
const countSchema = z.int().positive()

const faultSchema = z.discriminatedUnion('type', [
  /** The process dies; its VM starts a new one after `restartAfterMs`, or never. */
  z.strictObject({ type: z.literal('killNode'), atMs: timeMs, node: machine, restartAfterMs: timeMs.optional() }),
  /** A planned stop, followed by a new process. */
  z.strictObject({ type: z.literal('stopNode'), atMs: timeMs, node: machine, restartAfterMs: timeMs.optional() }),
  /** The process does nothing for a while and then goes on as if nothing had happened. */
  z.strictObject({ type: z.literal('pauseNode'), atMs: timeMs, node: machine, forMs: timeMs }),
  /** Every connection of callers to the node breaks; the process goes on. */
  z.strictObject({ type: z.literal('dropConnections'), atMs: timeMs, node: machine }),
  /** Two machines or zones, or a machine and `log`, do not reach each other. */
  z.strictObject({ type: z.literal('cut'), atMs: timeMs, between: z.tuple([machine, machine]), forMs: timeMs }),
  z.strictObject({ type: z.literal('loseZone'), atMs: timeMs, zone: machine, forMs: timeMs }),
  /** Nodes and workers of a zone lose their power; they start anew when it is back. */
  z.strictObject({ type: z.literal('powerOffZone'), atMs: timeMs, zone: machine, forMs: timeMs }),
  z.strictObject({ type: z.literal('logDown'), atMs: timeMs, forMs: timeMs }),
  z.strictObject({ type: z.literal('logSlow'), atMs: timeMs, forMs: timeMs, delayMs: timeMs }),
  z.strictObject({ type: z.literal('appendFault'), atMs: timeMs, fault: z.enum([AppendFault.LoseAnswer, AppendFault.LoseRequest, AppendFault.LandLate]), count: countSchema }),
  z.strictObject({ type: z.literal('crashWorker'), atMs: timeMs, worker: machine, restartAfterMs: timeMs }),
  z.strictObject({ type: z.literal('leaveWorker'), atMs: timeMs, worker: machine }),
  z.strictObject({ type: z.literal('slowWorker'), atMs: timeMs, worker: machine, factor: z.number().positive(), forMs: timeMs }),
  /** The next calls of a service worker are neither run nor answered. */
  z.strictObject({ type: z.literal('hangTool'), atMs: timeMs, worker: machine, count: countSchema }),
  /** The next calls of a service worker run, but their answer is lost. */
  z.strictObject({ type: z.literal('loseToolAnswers'), atMs: timeMs, worker: machine, count: countSchema }),
  /** Several operators edit the same revision at once, each at another node. */
  z.strictObject({ type: z.literal('raceOperators'), atMs: timeMs, operators: countSchema }),
  /** A caller sends a request that crashes every worker that runs it, and sends it again. */
  z.strictObject({ type: z.literal('poison'), atMs: timeMs, resends: countSchema }),
  /** A program loops without end. */
  z.strictObject({ type: z.literal('endlessProgram'), atMs: timeMs })
])
export type Fault = z.infer<typeof faultSchema>

export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** What the scenario is about, for readers of reports. */
  purpose: z.string().default(''),
  seed: z.int().default(1),
  firm: z.enum(['harrow', 'plecionka']).default('harrow'),
  zones: z.array(machine).min(1).default(['regina', 'saskatoon', 'brandon']),
  nodesPerZone: countSchema.default(1),
  engines: countSchema.default(3),
  services: countSchema.default(2),
  /** Time that a service call takes. */
  toolLatencyMs: timeMs.default(40),
  log: z.strictObject({
    appendsPerSecond: z.number().positive().default(400),
    retentionMs: timeMs.default(86_400_000),
    hidesOffsets: z.boolean().default(false)
  }).prefault({}),
  workload: z.strictObject({
    programs: countSchema.default(12),
    meanArrivalMs: timeMs.default(1_500),
    /** Share of callers that vanish in the middle of their program. */
    vanishingShare: z.number().min(0).max(1).default(0),
    urgentShare: z.number().min(0).max(1).default(0.5)
  }).prefault({}),
  /** Budget of every program, in place of the firm's own. */
  budget: z.strictObject({ tokens: countSchema, steps: countSchema, toolCalls: countSchema }).optional(),
  faults: z.array(faultSchema).default([]),
  expect: z.strictObject({
    /** Share of programs that finish, of those whose caller stayed. */
    minFinishedShare: z.number().min(0).max(1).default(0),
    /** Non-repeatable steps that end as unknown, at most. */
    maxUnknown: z.int().nonnegative().optional(),
    /** Crashes of workers in all, at most. */
    maxWorkerCrashes: z.int().nonnegative().optional()
  }).prefault({})
})
export type Scenario = z.output<typeof scenarioSchema>
