#pragma once

// Requests under which several targets ended one after the other, and which therefore no further target gets. Each
// gateway counts what it saw itself and what its peers tell, in whichever order and however often it hears it, so
// gateways come to the same verdict without asking each other.
//
//     quarantine.lost(fingerprint, target, sentAt, now);
//     quarantine.targetEnded(target, now);
//     const std::optional<Millis> wait = quarantine.refusedFor(fingerprint, now);
//     report.crashes = quarantine.newsFor(peer, UpdateScope::All, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/requestfingerprint.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** When a request counts as one that crashes targets, and for how long. */
struct RequestQuarantineSettings
{
    /** So many targets ended under it. */
    std::size_t mostCrashes = 3;
    /**
     * Targets that end within so long of each other, all with the request in hand, count as one: a loss of many at
     * once, as of a whole rack, says little about any one request.
     */
    Millis sameMoment{100};
    /** What a peer tells is dated so much too late at most: by its way, and by the work on both sides. */
    Millis tellingDelay{30};
    /** A lost connection is remembered for so long: until then the list of targets has dropped one that ended. */
    Millis lossLife{5000};
    /** For so long it is taken for likely that its target ended, unless that is known to live. */
    Millis verdictTime{2000};
    /** Such a connection's target is expected to be known to have ended, or not, within so long. */
    Millis usualVerdictTime{250};
    /** A request is refused until nobody has asked for it for so long. */
    Millis life{600000};
    /** A request that was answered whole lately crashes nobody; this is how long that is remembered. */
    Millis answerLife{60000};
    std::size_t mostAnswers = 8192;
    /** Requests that are remembered; beyond them the one that was seen longest ago goes, refused ones last. */
    std::size_t mostSuspects = 2048;
    /** News are told again for so long, since reports may be lost. */
    Millis toldFor{2000};
};

/** Not thread-safe. */
class RequestQuarantine
{
public:
    explicit RequestQuarantine(const RequestQuarantineSettings &settings = {});
    ~RequestQuarantine();

    /** The connection over which the target had the request is lost, and not by this gateway's doing. */
    void lost(const RequestFingerprint &request, const TargetId &target, Millis sentAt, Millis now);
    /** The target ended: what was lost there counts. @return the requests that are refused from now on. */
    std::vector<RequestFingerprint> targetEnded(const TargetId &target, Millis now);
    /**
     * The target takes connections. What was lost there says nothing of the requests, unless the target is found to
     * have ended after all: what takes connections may stand in between.
     */
    void targetLives(const TargetId &target);
    /** Targets where something was lost lately, and that are not known to have ended. */
    std::vector<TargetId> undecidedTargets(Millis now);
    /** The request was answered whole. */
    void answered(const RequestFingerprint &request, Millis now);

    /** A peer told of these. @param scope as for PrefixDirectory. @return the requests that are refused from now on. */
    std::vector<RequestFingerprint>
    heard(const InstanceId &peer, const std::vector<GatewayCrash> &crashes, Millis now, UpdateScope scope);
    /** What peer should hear: what is new, and from time to time all that is refused. */
    std::vector<GatewayCrash> newsFor(const InstanceId &peer, UpdateScope scope, Millis now);

    /**
     * How long the request is refused if nobody asks for it meanwhile; none where it may be sent. For a moment also
     * where it is not known yet whether the last of its targets ended.
     */
    std::optional<Millis> refusedFor(const RequestFingerprint &request, Millis now);
    /**
     * Whether a gateway may send the request to a further target by itself. It stops one target before a caller's
     * repeat is refused, and before it is known what became of the last target.
     */
    bool mayRetry(const RequestFingerprint &request, Millis now) const;
    std::size_t refusedCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
