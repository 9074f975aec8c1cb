#pragma once

// What a read of the configuration proves after the store was restored from a copy. The copy may hold an older version
// than the newest known one. Or it holds the newest known one, but a newer one, which no gateway has read, was accepted
// after the copy was made. The operator then writes the lost versions again. Until that is done, a read is no proof
// that nothing newer was published.
//
//     RestoredStore restored;
//     restored.recordRestore(newestVersion, now);
//     if (restored.provesNewest(version, writtenAt, now)) { freshness.recordProof(version, readAt); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <optional>

namespace Sequoiausher {

/** The time after a restore within which data written since the copy was made is written again. */
inline constexpr Millis rewriteTime{2000};

/** The last restore of a store from a copy. Not thread-safe. */
class RestoredStore
{
public:
    /** @param newestVersion the newest version that was known to be published before. */
    void recordRestore(Revision newestVersion, Millis now);
    /**
     * Whether a read of this version proves that no newer one was published. The first read of a known version after a
     * restore is taken as the copy's state.
     * @param writtenAt the store's position at which the version was written.
     */
    bool provesNewest(Revision version, Revision writtenAt, Millis now);

private:
    std::optional<Millis> restoredAt;
    Revision newestBeforeRestore = 0;
    /** The position at which the version in the first read of a known version after the restore was written. */
    std::optional<Revision> copyRevision;
};

} // namespace Sequoiausher
