#include "sequoiausher/coordination/gateway/restoredstore.h"

namespace Sequoiausher {

void RestoredStore::recordRestore(Revision newestVersion, Millis now)
{
    this->restoredAt = now;
    this->newestBeforeRestore = newestVersion;
    this->copyRevision.reset();
}

bool RestoredStore::provesNewest(Revision version, Revision writtenAt, Millis now)
{
    if (!this->restoredAt || version > this->newestBeforeRestore) {
        return true;
    }
    this->copyRevision = this->copyRevision.value_or(writtenAt);
    if (version < this->newestBeforeRestore) {
        return false;
    }
    return writtenAt != *this->copyRevision || now >= *this->restoredAt + rewriteTime;
}

} // namespace Sequoiausher
