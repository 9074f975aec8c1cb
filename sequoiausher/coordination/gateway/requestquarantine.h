#pragma once

// Refuses requests that crash targets. If several targets end one after the other while they have the same request in
// flight, the request is sent to no further target. Each gateway counts its own observations and those that its peers
// report. The result does not depend on the order of the reports or on repeats, so all gateways reach the same decision
// without asking each other.
//
//     quarantine.recordLostConnection(fingerprint, target, sentAt, now);
//     quarantine.recordTargetEnded(target, now);
//     const std::optional<Millis> wait = quarantine.refusedFor(fingerprint, now);
//     report.crashes = quarantine.reportFor(peer, UpdateScope::All, now);

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

/** Configures when a request counts as one that crashes targets, and for how long. */
struct RequestQuarantineSettings
{
    /** The number of targets that ended with the request in flight before it is refused. */
    std::size_t crashThreshold = 3;
    /**
     * Targets that end within this time of each other, all with the request in flight, count as one crash. The loss of
     * many targets at once, such as a whole rack, is weak evidence against any one request.
     */
    Millis simultaneousWindow{100};
    /** The most by which a peer's observation is dated too late, due to the network and processing on both sides. */
    Millis maxReportDelay{30};
    /** How long a lost connection is remembered. By then the list of targets has dropped a target that ended. */
    Millis lossTtl{5000};
    /** How long the target of a lost connection is presumed to have ended, unless it is known to be alive. */
    Millis maxDetectionTime{2000};
    /** The time within which it is usually known whether the target of a lost connection ended. */
    Millis usualDetectionTime{250};
    /** A request is refused until no caller has sent it for this long. */
    Millis suspectTtl{600000};
    /** How long a complete answer is remembered. A request with a recent complete answer does not crash targets. */
    Millis answerTtl{60000};
    std::size_t maxAnswers = 8192;
    /** The most requests that are tracked. Beyond it the least recently seen is dropped, refused ones last. */
    std::size_t maxSuspects = 2048;
    /** How long an observation is repeated in reports, since reports may be lost. */
    Millis reportTtl{2000};
};

/** Tracks requests that may crash targets, and decides which are refused. Not thread-safe. */
class RequestQuarantine
{
public:
    explicit RequestQuarantine(const RequestQuarantineSettings &settings = {});
    ~RequestQuarantine();

    /** Records that the connection on which the target had the request was lost, and not closed by this gateway. */
    void recordLostConnection(const RequestFingerprint &request, const TargetId &target, Millis sentAt, Millis now);
    /** Counts the connections lost at a target that has ended. @return the requests that are refused from now on. */
    std::vector<RequestFingerprint> recordTargetEnded(const TargetId &target, Millis now);
    /**
     * Records that the target accepts connections. Connections lost there are no evidence against their requests,
     * unless the target is found to have ended after all: a proxy in between may have accepted the connection.
     */
    void recordTargetAlive(const TargetId &target);
    /** Returns the targets with a recently lost connection that are not known to have ended. */
    std::vector<TargetId> targetsToCheck(Millis now);
    /** Records a complete answer to the request. */
    void recordAnswer(const RequestFingerprint &request, Millis now);

    /** Merges a peer's report. @param scope as for PrefixDirectory. @return the requests refused from now on. */
    std::vector<RequestFingerprint>
    mergeReport(const InstanceId &peer, const std::vector<GatewayCrash> &crashes, Millis now, UpdateScope scope);
    /** Returns the report for peer: recent observations and, in every fourth report, all refused requests. */
    std::vector<GatewayCrash> reportFor(const InstanceId &peer, UpdateScope scope, Millis now);

    /**
     * Returns how long the request is refused if no caller sends it meanwhile; none where it may be sent. A request is
     * also refused for a short time while it is not known whether the last of its targets ended.
     */
    std::optional<Millis> refusedFor(const RequestFingerprint &request, Millis now);
    /**
     * Whether a gateway may retry the request at a further target on its own. Its retries stop at one crash fewer than
     * crashThreshold. A target whose connection was just lost counts as ended unless it is known to be alive.
     */
    bool mayRetry(const RequestFingerprint &request, Millis now) const;
    std::size_t refusedCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
