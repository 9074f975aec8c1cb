#pragma once

// Tracks how recently a gateway's configuration was proven to be the newest. A revoked key must stop working after a
// bounded time, even at a gateway that cannot reach the store. The gateway therefore keeps the last moment at which
// nothing newer was published, and refuses requests once that moment is too long ago.
//
// A proof is one of two things. An answer of the store is dated by the start of the call. A report of a peer is dated
// by the report of this gateway that it echoes: the peer wrote its report after it had received that one, so the peer's
// knowledge is at least as recent. Clocks of different machines are never compared, and a report that was delayed by a
// partition proves no more than the report that it echoes. The clock must keep running while the machine is suspended.
//
// A proof of a version also holds for each newer version that the gateway has: at that moment nothing newer than the
// older version was published, so nothing newer than the newer version was. A change that revokes a key of the newer
// version was therefore published later than that moment.
//
//     Freshness freshness;
//     freshness.recordProof(version, callStartedAt);
//     if (freshness.age(version, now) > maxAge) { refuse(); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <map>

namespace Sequoiausher {

/** Keeps the newest proof of each recent version. Not thread-safe. */
class Freshness
{
public:
    /** Records that nothing newer than version had been published at the moment at. */
    void recordProof(Revision version, Millis at);
    /**
     * Records the proof in a peer's report.
     * @param version the version in force at the peer.
     * @param proofAge the age of the peer's own proof; never() for none.
     * @param echo when this gateway sent the report that the peer had received last; 0 for none.
     */
    void recordPeerProof(Revision version, Millis proofAge, Millis echo);

    /**
     * Returns the age of the newest proof of version or of an older version; never() where there is none. Proofs of
     * older versions count because in a rapid series of changes a gateway would otherwise have no proof for the 40 ms
     * from the arrival of each version to its own proof, and would refuse all requests that need a key in that time.
     */
    Millis age(Revision version, Millis now) const;
    /**
     * Whether a newer version is known to be published. The contents of version remain valid until its last proof is
     * too old, but no request may be refused because a route or key is missing: the newer version may have it.
     */
    bool isBehind(Revision version) const;
    /** Returns the newest version known to have been published; 0 before the first. */
    Revision newest() const;

private:
    /** For each recent version, the last moment at which nothing newer than it was known to be published. */
    std::map<Revision, Millis> proofs;
};

} // namespace Sequoiausher
