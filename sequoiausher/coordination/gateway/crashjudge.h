#pragma once

// Ways to decide which requests crash targets, for tests that compare them in a fleet: the quarantine with several
// settings and views of a request, and a likelihood ratio.
//
//     std::unique_ptr<CrashJudge> judge = makeCrashJudge(CrashJudgement::Kept);
//     judge->recordAnswer(request, now);
//     if (judge->refuses(request, now)) { ... }

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/requestquarantine.h"

#include <memory>

namespace Sequoiausher {

/** The decision of one gateway. */
class CrashJudge
{
public:
    CrashJudge() = default;
    CrashJudge(const CrashJudge &) = delete;
    CrashJudge &operator=(const CrashJudge &) = delete;
    virtual ~CrashJudge() = default;

    virtual void recordLostConnection(const SuspectedRequest &request, const LostConnection &lost, Millis now) = 0;
    virtual void recordTargetEnded(const TargetId &target, Millis now) = 0;
    virtual void recordAnswer(const SuspectedRequest &request, Millis now) = 0;
    virtual void recordPromptRead(const SuspectedRequest &request, Millis now) = 0;
    virtual void recordPeerState(const InstanceId &peer, bool hasReceivedReport) = 0;
    virtual CrashNews reportFor(const InstanceId &peer, UpdateScope scope, Millis now) = 0;
    virtual void mergeReport(const InstanceId &peer, const CrashNews &news, Millis now, UpdateScope scope) = 0;
    virtual bool refuses(const SuspectedRequest &request, Millis now) = 0;
};

enum class CrashJudgement {
    /** The quarantine as gateways use it. */
    Kept,
    /** A request is suspected by its fingerprint alone. */
    RequestAlone,
    /** The list of all shared parts is suspected, not each of them. */
    PartList,
    /**
     * Earlier answers do not raise a part's threshold, targets lost in the middle of an answer count, and only whole
     * answers clear parts.
     */
    CountAlone,
    /** The likelihood that a part crashes its targets, against that of chance. */
    LikelihoodRatio,
};

template<>
inline constexpr auto nameTable<CrashJudgement> = std::to_array<NameEntry<CrashJudgement>>({
    {CrashJudgement::Kept, "kept"},
    {CrashJudgement::RequestAlone, "request alone"},
    {CrashJudgement::PartList, "list of parts"},
    {CrashJudgement::CountAlone, "count alone"},
    {CrashJudgement::LikelihoodRatio, "likelihood ratio"},
});

std::unique_ptr<CrashJudge> makeCrashJudge(CrashJudgement way);

} // namespace Sequoiausher
