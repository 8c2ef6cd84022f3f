import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { ILeads, Leads } from './leads.js'
import { ILeadTable, LeadTable } from './leadTable.js'
import { IPlacement, Placement } from './placement.js'
import { ISlots, Slots } from './slots.js'

registerPlugin({
  name: 'placement',
  register (container) {
    container.registerSingleton(ILeadTable, LeadTable)
    container.registerSingleton(Leads)
    container.register(ILeads, { useToken: Leads })
    container.registerSingleton(Slots)
    container.register(ISlots, { useToken: Slots })
    container.registerSingleton(IPlacement, Placement)
  },
  create (container): IPlugin {
    const leads = container.resolve(Leads)
    const slots = container.resolve(Slots)
    return {
      start () {
        leads.start()
        slots.start()
      },
      dispose () {}
    }
  }
})
