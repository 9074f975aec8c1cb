#pragma once

// Which software versions the targets of each service have had lately, as far as one gateway's list of targets shows,
// and for which time the list is proven to show all of them.
//
// A proof is a moment up to which the list is complete: the start of the store's answer that it rests on, or the report
// of this gateway that a peer's word answers, less the age of what the peer knows. When the proof arrives makes no
// difference, so an answer that waited in a socket proves no more than one that was read at once.
//
//     VersionHistory history;
//     history.setTargets(list.targets(), now);
//     history.recordProof(duty.knownUpTo());
//     const OriginFinding finding = history.findOnly(service, {now - Millis{30000}, now}, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/messages/streamoriginmessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sequoiausher {

/** A time in which a stream may have begun. */
struct BeginTime
{
    Millis from;
    Millis to;
};

/** Not thread-safe. */
class VersionHistory
{
public:
    /** Replaces the list of targets. */
    void setTargets(const std::vector<GatewayTarget> &targets, Millis now);
    /** A target was written; another change of the same answer may remove it before the list is replaced. */
    void recordWritten(const GatewayTarget &target, Millis now);
    /**
     * Records that the list shows all targets that were written up to that moment. After a longer time without proof,
     * targets may have come and gone unseen, so what is proven begins anew.
     */
    void recordProof(Millis at);
    /** Records that the store or a peer was heard. That proves no list; it counts where no target names a version. */
    void recordContact(Millis now);
    /** Records that the store was restored from a copy, which may lack targets that serve until they are written again.
     */
    void recordRestore(Millis now);
    /**
     * Whether all targets that can have begun a stream of the service in that time had one version: Only with that
     * version, Several, or Unknown where the list is not proven for the whole time.
     */
    OriginFinding findOnly(const PoolId &service, const BeginTime &time, Millis now) const;
    /** The versions that the service's targets have had since then, as far as the list shows. */
    std::set<std::string> versionsSince(const PoolId &service, Millis from) const;
    /** Whether the list is proven up to that moment; a service without named versions needs a contact only. */
    bool isProvenUpTo(const PoolId &service, Millis to, Millis now) const;
    /** Whether the list is proven from that moment on. */
    bool isProvenSince(const PoolId &service, Millis from) const;
    /** Whether no target of the service has named a version, so that there is nothing to keep a stream at. */
    bool hasNoNames(const PoolId &service) const;
    /** Since when the list is proven without a gap; never() without a proof. */
    Millis provenSince() const;
    /** Up to when the list is proven; 0 without a proof. */
    Millis provenUpTo() const;

private:
    struct Seen
    {
        bool isListed = false;
        /** When it was last listed, if it is not listed now. */
        Millis until;
    };

    std::optional<Millis> knownSince;
    std::optional<Millis> firstProofAt;
    Millis lastProofAt;
    std::optional<Millis> contactAt;
    /** After the store was restored from a copy, earlier moments prove nothing. */
    Millis provesFrom;
    std::map<PoolId, std::map<std::string, Seen>> services;
};

} // namespace Sequoiausher
