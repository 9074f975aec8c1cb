#include "sequoiausher/coordination/gateway/restoredstore.h"

namespace Sequoiausher {

void RestoredStore::returned(Revision newest, Millis now)
{
    this->returnedAt = now;
    this->newestBefore = newest;
    this->copied.reset();
}

bool RestoredStore::proves(Revision version, Revision writtenAt, Millis now)
{
    if (!this->returnedAt || version > this->newestBefore) {
        return true;
    }
    this->copied = this->copied.value_or(writtenAt);
    if (version < this->newestBefore) {
        return false;
    }
    return writtenAt != *this->copied || now >= *this->returnedAt + rewriteTime;
}

} // namespace Sequoiausher
