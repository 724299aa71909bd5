#include <sagechute/Edge.h>

namespace sagechute::edge {

StoreRole storeRole(const VmId& self, const std::vector<Peer>& others)
{
    unsigned before = 0;
    unsigned readBefore = 0;
    for (const Peer& it : others) {
        if (self < it.vm)
            continue;
        ++before;
        readBefore += it.readsStore ? 1 : 0;
    }
    if (before < mostStoreReaders)
        return StoreRole::Reads;
    return readBefore < mostStoreReaders ? StoreRole::StepsIn : StoreRole::Follows;
}

} // namespace sagechute::edge
