#pragma once

// Refuses requests that crash targets. A suspect is a request that is sent again and again, or a part of prompts that
// requests share (SuspectKey). If several targets end one after the other while requests with the same suspect are in
// flight there, such requests are sent to no further target. Each gateway counts its own observations and those that
// its peers report. The result does not depend on the order of the reports or on repeats, so all gateways reach the
// same decision without asking each other.
//
// A whole answer clears all its suspects of the targets that ended before it, and an answer that has begun a while ago
// clears the parts of its prompt. So a part that many requests share is not accused by targets that end by chance, and
// neither is one that accompanies a part that crashes targets.
//
//     quarantine.recordLostConnection(request, {target, sentAt, hasBegun}, now);
//     quarantine.recordTargetEnded(target, now);
//     const std::optional<QuarantineRefusal> refusal = quarantine.refusal(request, now);
//     report.crashes = quarantine.reportFor(peer, UpdateScope::All, now);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/suspectkey.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Configures when a suspect counts as one that crashes targets, and for how long. */
struct RequestQuarantineSettings
{
    /** The number of targets that ended under the suspect before it is refused. */
    std::size_t crashThreshold = 3;
    /** The same for a prompt part that was answered before: most likely it was in flight beside something else. */
    std::size_t answeredPartCrashThreshold = 5;
    /**
     * Targets that end within this time of each other, all with the suspect in flight, count as one crash; for prompt
     * parts, as maxSimultaneousPartCrashes at most. The loss of many targets at once, such as a whole rack, is weak
     * evidence against any one request. Many requests may share a part, so two of them often come at the same time.
     */
    Millis simultaneousWindow{100};
    std::size_t maxSimultaneousPartCrashes = 2;
    /** The most by which a peer's observation is dated too late, due to the network and processing on both sides. */
    Millis maxReportDelay{30};
    /** How long a lost connection is remembered. By then the list of targets has dropped a target that ended. */
    Millis lossTtl{5000};
    /** How long the target of a lost connection is presumed to have ended, unless it is known to be alive. */
    Millis maxDetectionTime{2000};
    /** The time within which it is usually known whether the target of a lost connection ended. */
    Millis usualDetectionTime{250};
    /**
     * A request is refused until no caller has sent it for this long, and requests with a prompt part until no target
     * has ended under it for this long. A part is remembered for as long again, and one more crash has it refused anew.
     */
    Millis suspectTtl{600000};
    /** How long a complete answer is remembered. A request with a recent complete answer does not crash targets. */
    Millis answerTtl{60000};
    /** How long it is remembered that a prompt part was answered. */
    Millis partAnswerTtl{600000};
    /** The most requests, and the most prompt parts, of which answers are remembered. */
    std::size_t maxAnswers = 8192;
    /**
     * The most suspects that are tracked. Beyond it the least recently seen ones are dropped, refused ones last and
     * those of the organisations with the most suspects first.
     */
    std::size_t maxSuspects = 2048;
    /** How long an observation is repeated in reports, since reports may be lost. */
    Millis reportTtl{2000};
};

/** The connection on which a target had a request. */
struct LostConnection
{
    TargetId target;
    Millis sentAt;
    /**
     * The answer had begun some time before, so the prompt had been read without a crash: no evidence against its
     * parts.
     */
    bool hasBegun = false;
};

/** Why a request is refused. */
struct QuarantineRefusal
{
    /** The time after which the request may be sent again; for a request of its own, if no caller sends it meanwhile.
     */
    Millis wait;
    SuspectKey suspect;
    /** The targets that ended under the suspect. */
    std::vector<TargetId> targets;
    /** It is not known yet whether the last of the targets has ended. */
    bool isPending = false;
};

/** What one gateway reports of its suspects. */
struct CrashNews
{
    std::vector<GatewayCrash> requests;
    std::vector<GatewayCrash> parts;
};

/** Tracks what may crash targets, and decides which requests are refused. Not thread-safe. */
class RequestQuarantine
{
public:
    explicit RequestQuarantine(const RequestQuarantineSettings &settings = {});
    ~RequestQuarantine();

    /** Records that the connection on which a target had the request was lost, and not closed by this gateway. */
    void recordLostConnection(const SuspectedRequest &request, const LostConnection &connection, Millis now);
    /** Counts the connections lost at a target that has ended. @return the suspects that are refused from now on. */
    std::vector<SuspectKey> recordTargetEnded(const TargetId &target, Millis now);
    /**
     * Records that the target accepts connections. Connections lost there are no evidence against their requests,
     * unless the target is found to have ended after all: a proxy in between may have accepted the connection.
     */
    void recordTargetAlive(const TargetId &target);
    /** Returns the targets with a recently lost connection that are not known to have ended. */
    std::vector<TargetId> targetsToCheck(Millis now);
    /** Records a complete answer to the request. */
    void recordAnswer(const SuspectedRequest &request, Millis now);
    /**
     * Records that the target has read the whole prompt and lives on, some time after the answer began. Clears the
     * parts of the prompt as a complete answer does; the request itself may still crash its target.
     */
    void recordPromptRead(const SuspectedRequest &request, Millis now);

    /** Merges a peer's report. @param scope as for PrefixDirectory. @return the suspects refused from now on. */
    std::vector<SuspectKey> mergeReport(const InstanceId &peer, const CrashNews &news, Millis now, UpdateScope scope);
    /** Records whether the peer has received a report from this gateway since it started. */
    void recordPeerState(const InstanceId &peer, bool hasReceivedReport);
    /**
     * Returns the report for peer: recent observations and, in every fourth report, all that is refused; everything as
     * long as the peer has received no report.
     */
    CrashNews reportFor(const InstanceId &peer, UpdateScope scope, Millis now);

    /**
     * Returns why the request is refused; none where it may be sent. A request is also refused for a short time while
     * it is not known whether the last target ended. A refused suspect does not count if another one that this request
     * does not have explains all its crashes.
     */
    std::optional<QuarantineRefusal> refusal(const SuspectedRequest &request, Millis now);
    /**
     * Whether a gateway may retry the request at a further target on its own. Its retries stop at one crash fewer than
     * the suspects' thresholds. A target whose connection was just lost counts as ended unless it is known to be alive.
     */
    bool mayRetry(const SuspectedRequest &request, Millis now) const;
    /** The number of suspects that are refused. */
    std::size_t refusedCount() const;
    /** The number of suspects that are tracked. */
    std::size_t suspectCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
