/** Registers the handling of programs with the kernel. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { IntentResolver } from './intentResolver.js'
import { IProgramClosing, ProgramClosing } from './programClosing.js'
import { ProgramOpening } from './programOpening.js'
import { ProgramRequests } from './programRequests.js'
import { IProgramRouting, ProgramRouting } from './programRouting.js'
import { IProgramTable, ProgramTable } from './programTable.js'
import { ProgramRetention } from './programRetention.js'
import { StepEnding } from './stepEnding.js'
import { IStepRunner, StepRunner } from './stepRunner.js'
import { ITakeover, Takeover } from './takeover.js'

registerPlugin({
  name: 'programs',
  register (container) {
    container.registerSingleton(IProgramTable, ProgramTable)
    container.registerSingleton(IProgramClosing, ProgramClosing)
    container.registerSingleton(IntentResolver)
    container.registerSingleton(StepEnding)
    container.registerSingleton(IStepRunner, StepRunner)
    container.registerSingleton(Takeover)
    container.register(ITakeover, { useToken: Takeover })
    container.registerSingleton(IProgramRouting, ProgramRouting)
  },
  create (container): IPlugin {
    const opening = container.resolve(ProgramOpening)
    const requests = container.resolve(ProgramRequests)
    const takeover = container.resolve(Takeover)
    const retention = container.resolve(ProgramRetention)
    return {
      start () {
        opening.start()
        requests.start()
        takeover.start()
        retention.start()
      },
      dispose () {}
    }
  }
})
