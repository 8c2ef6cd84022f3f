/** The scenario language, JSON with comments: a fleet, a workload, timed faults and the expected results. */
import { z } from 'zod'
import { AppendFault } from '@trefoilshunt/standins'

const timeMs = z.number().nonnegative()
const machine = z.string().min(1)
const countSchema = z.int().positive()

const faultSchema = z.discriminatedUnion('type', [
  /** The process crashes. Its VM starts a new one after `restartAfterMs`; without it the VM is removed from the list. */
  z.strictObject({ type: z.literal('killNode'), atMs: timeMs, node: machine, restartAfterMs: timeMs.optional() }),
  /** A planned stop. A new process starts once the old one has exited, after `restartAfterMs` at the earliest; without it the VM is removed from the list. */
  z.strictObject({ type: z.literal('stopNode'), atMs: timeMs, node: machine, restartAfterMs: timeMs.optional() }),
  /** The process is frozen and then handles what arrived meanwhile. */
  z.strictObject({ type: z.literal('pauseNode'), atMs: timeMs, node: machine, forMs: timeMs }),
  /** Every connection of callers and forwarding nodes to the node breaks; the process keeps running. */
  z.strictObject({ type: z.literal('dropConnections'), atMs: timeMs, node: machine }),
  /** Two machines or zones, or one of them and `log`, cannot reach each other. */
  z.strictObject({ type: z.literal('cut'), atMs: timeMs, between: z.tuple([machine, machine]), forMs: timeMs }),
  /** A zone cannot reach the other zones and the log. */
  z.strictObject({ type: z.literal('loseZone'), atMs: timeMs, zone: machine, forMs: timeMs }),
  /** The nodes and workers of a zone crash and restart after `forMs`. */
  z.strictObject({ type: z.literal('powerOffZone'), atMs: timeMs, zone: machine, forMs: timeMs }),
  /** The log service refuses every append and read. */
  z.strictObject({ type: z.literal('logDown'), atMs: timeMs, forMs: timeMs }),
  /** Each append and read of the log takes `delayMs` longer. */
  z.strictObject({ type: z.literal('logSlow'), atMs: timeMs, forMs: timeMs, delayMs: timeMs }),
  /** The next appends to the log get no answer; see `AppendFault` for what happens to the records. */
  z.strictObject({ type: z.literal('appendFault'), atMs: timeMs, fault: z.enum([AppendFault.LoseAnswer, AppendFault.LoseRequest, AppendFault.LandLate]), count: countSchema }),
  z.strictObject({ type: z.literal('crashWorker'), atMs: timeMs, worker: machine, restartAfterMs: timeMs }),
  /** The VM list marks the worker as leaving; 30 s later it ends and is removed. */
  z.strictObject({ type: z.literal('leaveWorker'), atMs: timeMs, worker: machine }),
  /** An engine takes `factor` times as long for each decoding step. */
  z.strictObject({ type: z.literal('slowWorker'), atMs: timeMs, worker: machine, factor: z.number().positive(), forMs: timeMs }),
  /** A service worker neither executes nor answers its next calls. */
  z.strictObject({ type: z.literal('hangTool'), atMs: timeMs, worker: machine, count: countSchema }),
  /** A service worker executes its next calls, but their answers are lost. */
  z.strictObject({ type: z.literal('loseToolAnswers'), atMs: timeMs, worker: machine, count: countSchema }),
  /** Several operators change the same revision at once, through different nodes as far as there are enough. */
  z.strictObject({ type: z.literal('raceOperators'), atMs: timeMs, operators: countSchema }),
  /** A caller sends a request that crashes every engine that runs it, and repeats it `resends` times; crashed engines restart before each repetition. */
  z.strictObject({ type: z.literal('poison'), atMs: timeMs, resends: countSchema }),
  /** A program requests more steps than its budget allows. */
  z.strictObject({ type: z.literal('endlessProgram'), atMs: timeMs })
])
/** One fault of a scenario, `atMs` milliseconds after the start of the workload. */
export type Fault = z.infer<typeof faultSchema>

/** Schema of a scenario file, with the defaults of absent fields. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** What the scenario tests, for readers of reports. */
  purpose: z.string().default(''),
  seed: z.int().default(1),
  /** Whose configuration document, work kinds and workers are used. */
  firm: z.enum(['harrow', 'plecionka']).default('harrow'),
  zones: z.array(machine).min(1).default(['regina', 'saskatoon', 'brandon']),
  nodesPerZone: countSchema.default(1),
  /** Workers of the firm's model engine, and of its service. */
  engines: countSchema.default(3),
  services: countSchema.default(2),
  /** Duration of a service call. */
  toolLatencyMs: timeMs.default(40),
  log: z.strictObject({
    appendsPerSecond: z.number().positive().default(400),
    retentionMs: timeMs.default(86_400_000),
    /** True for a log whose answers to appends do not contain offsets. */
    hidesOffsets: z.boolean().default(false)
  }).prefault({}),
  workload: z.strictObject({
    programs: countSchema.default(12),
    /** Mean time between two arrivals; the times are exponentially distributed. */
    meanArrivalMs: timeMs.default(1_500),
    /** Share of callers that leave before their program ends, without closing it. */
    vanishingShare: z.number().min(0).max(1).default(0),
    /** Share of programs of rank `urgent`; the others have rank `other`. */
    urgentShare: z.number().min(0).max(1).default(0.5)
  }).prefault({}),
  /** Budget of every program, overriding that of its work kind. */
  budget: z.strictObject({ tokens: countSchema, steps: countSchema, toolCalls: countSchema }).optional(),
  faults: z.array(faultSchema).default([]),
  expect: z.strictObject({
    /** Smallest share of finished programs, without those whose caller left or that are meant to fail. */
    minFinishedShare: z.number().min(0).max(1).default(0),
    /** Largest number of non-repeatable steps whose outcome is unknown. */
    maxUnknown: z.int().nonnegative().optional(),
    /** Largest number of engine crashes. */
    maxWorkerCrashes: z.int().nonnegative().optional()
  }).prefault({})
})
/** A parsed scenario, defaults included. */
export type Scenario = z.output<typeof scenarioSchema>
