/** The file format of the sample programs. */
import { z } from 'zod'
import type { PlanStep, ProgramPlan } from '@trefoilshunt/testing'

const planStepSchema: z.ZodType<PlanStep> = z.lazy(() => z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('model'), promptTokens: z.int().positive(), answerTokens: z.int().positive() }),
  z.strictObject({ type: z.literal('pause'), durationMs: z.number().nonnegative() }),
  z.strictObject({ type: z.literal('tool'), isRepeatable: z.boolean() }),
  z.strictObject({ type: z.literal('children'), plans: z.array(z.array(planStepSchema)).min(1) })
]))

/** Schema of a sample program; a field that is not listed is an error. */
export const programPlanSchema: z.ZodType<ProgramPlan> = z.strictObject({
  kind: z.string(),
  customer: z.string(),
  service: z.string(),
  steps: z.array(planStepSchema).min(1),
  poisonStep: z.int().nonnegative().optional()
})
