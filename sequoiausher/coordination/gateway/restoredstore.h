#pragma once

// What a reading of the configuration proves once the store has come back from a copy. The copy may hold an older
// version than the one in force, or the one in force though a newer one was accepted after the copy was made; the
// operator writes again what was lost. Until that is done such a reading is no proof that nothing newer was published.
//
//     RestoredStore restored;
//     restored.returned(newestVersion, now);
//     if (restored.proves(version, writtenAt, now)) { freshness.proven(version, readAt); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <optional>

namespace Sequoiausher {

/** Within so long after its return the store has again what was written since the copy was made. */
inline constexpr Millis rewriteTime{2000};

/** The last return of a store. Not thread-safe. */
class RestoredStore
{
public:
    /** @param newest the newest version that was known to be published before. */
    void recordReturn(Revision newestVersion, Millis now);
    /** @param writtenAt the store's position at which the version was written. */
    bool provesNothingNewer(Revision version, Revision writtenAt, Millis now);

private:
    std::optional<Millis> returnedAt;
    Revision newestBeforeReturn = 0;
    /** Where the first reading after the return said that its version was written. */
    std::optional<Revision> copyWrittenAt;
};

} // namespace Sequoiausher
