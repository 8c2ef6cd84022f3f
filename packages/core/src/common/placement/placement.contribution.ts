/** Registers the coordinator of workers, the slot requester and placement. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { IWorkerCoordinator, WorkerCoordinator } from './workerCoordinator.js'
import { ICoordinatorTable, CoordinatorTable } from './coordinatorTable.js'
import { IPlacement, Placement } from './placement.js'
import { ISlotRequester, SlotRequester } from './slotRequester.js'

registerPlugin({
  name: 'placement',
  register (container) {
    container.registerSingleton(ICoordinatorTable, CoordinatorTable)
    container.registerSingleton(WorkerCoordinator)
    container.register(IWorkerCoordinator, { useToken: WorkerCoordinator })
    container.registerSingleton(SlotRequester)
    container.register(ISlotRequester, { useToken: SlotRequester })
    container.registerSingleton(IPlacement, Placement)
  },
  create (container): IPlugin {
    const workerCoordinator = container.resolve(WorkerCoordinator)
    const slotRequester = container.resolve(SlotRequester)
    return {
      start () {
        workerCoordinator.start()
        slotRequester.start()
      },
      dispose () {}
    }
  }
})
