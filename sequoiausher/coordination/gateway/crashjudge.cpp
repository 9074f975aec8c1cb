#include "sequoiausher/coordination/gateway/crashjudge.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

class QuarantineJudge : public CrashJudge
{
public:
    QuarantineJudge(const RequestQuarantineSettings &settings, CrashJudgement judgement)
        : quarantine(settings)
        , way(judgement)
    {
    }

    void recordLostConnection(const SuspectedRequest &request, const LostConnection &lost, Millis now) override
    {
        LostConnection seen = lost;
        seen.hasBegun = lost.hasBegun && this->way != CrashJudgement::CountAlone;
        this->quarantine.recordLostConnection(this->viewOf(request), seen, now);
    }
    void recordTargetEnded(const TargetId &target, Millis now) override
    {
        this->quarantine.recordTargetEnded(target, now);
    }
    void recordAnswer(const SuspectedRequest &request, Millis now) override
    {
        this->quarantine.recordAnswer(this->viewOf(request), now);
    }
    void recordPromptRead(const SuspectedRequest &request, Millis now) override
    {
        if (this->way != CrashJudgement::CountAlone) {
            this->quarantine.recordPromptRead(this->viewOf(request), now);
        }
    }
    void recordPeerState(const InstanceId &peer, bool hasReceivedReport) override
    {
        this->quarantine.recordPeerState(peer, hasReceivedReport);
    }
    CrashNews reportFor(const InstanceId &peer, UpdateScope scope, Millis now) override
    {
        return this->quarantine.reportFor(peer, scope, now);
    }
    void mergeReport(const InstanceId &peer, const CrashNews &news, Millis now, UpdateScope scope) override
    {
        this->quarantine.mergeReport(peer, news, now, scope);
    }
    bool refuses(const SuspectedRequest &request, Millis now) override
    {
        return this->quarantine.refusal(this->viewOf(request), now).has_value();
    }

private:
    SuspectedRequest viewOf(const SuspectedRequest &request) const
    {
        SuspectedRequest view = request;
        if (this->way == CrashJudgement::RequestAlone) {
            view.sharedParts.clear();
        } else if (this->way == CrashJudgement::PartList) {
            std::string list;
            for (const std::uint64_t part : request.sharedParts) {
                list += std::to_string(part) + ",";
            }
            view.sharedParts = {hash64(list)};
        }
        return view;
    }

    RequestQuarantine quarantine;
    CrashJudgement way;
};

/**
 * Refuses a part if it is far more likely that it crashes nearly every target than that its targets ended by chance.
 * Source: Wald, "Sequential tests of statistical hypotheses", 1945. An answer counts for a minute.
 */
class LikelihoodJudge : public CrashJudge
{
public:
    void recordLostConnection(const SuspectedRequest &request, const LostConnection &lost, Millis now) override
    {
        if (!lost.hasBegun) {
            this->losses.push_back({request, lost, now});
        }
    }
    void recordTargetEnded(const TargetId &target, Millis now) override
    {
        for (const Loss &loss : this->losses) {
            if (loss.lost.target != target || now - loss.at > lossTtl) {
                continue;
            }
            for (const std::uint64_t part : loss.request.sharedParts) {
                this->parts[part].crashes.try_emplace(target, loss.at);
            }
        }
        std::erase_if(this->losses, [&target, now](const Loss &loss) {
            return loss.lost.target == target || now - loss.at > lossTtl;
        });
    }
    void recordAnswer(const SuspectedRequest &request, Millis now) override
    {
        for (const std::uint64_t part : request.sharedParts) {
            this->own[part].push_back(now);
        }
    }
    void recordPromptRead(const SuspectedRequest & /*request*/, Millis /*now*/) override
    {
    }
    void recordPeerState(const InstanceId & /*peer*/, bool /*hasReceivedReport*/) override
    {
    }
    CrashNews reportFor(const InstanceId & /*peer*/, UpdateScope /*scope*/, Millis now) override
    {
        // Each report names all crashes, and as many answers of the reporter as an innocent part needs.
        CrashNews news;
        for (auto &[part, state] : this->parts) {
            for (const auto &[target, at] : state.crashes) {
                news.parts.push_back({0, part, target, now - at, Millis{0}});
            }
            const std::vector<Millis> &answers = this->own[part];
            const std::size_t count = std::min(answers.size(), reportedAnswers);
            for (std::size_t i = answers.size() - count; i < answers.size(); ++i) {
                news.parts.push_back({0, part, {}, now - answers[i], Millis{0}});
            }
        }
        return news;
    }
    void mergeReport(const InstanceId &peer, const CrashNews &news, Millis now, UpdateScope /*scope*/) override
    {
        std::map<std::uint64_t, std::vector<Millis>> answers;
        for (const GatewayCrash &entry : news.parts) {
            if (entry.target.value.empty()) {
                answers[entry.content].push_back(now - entry.age);
            } else {
                this->parts[entry.content].crashes.try_emplace(entry.target, now - entry.age);
            }
        }
        for (auto &[part, times] : answers) {
            this->parts[part].answersOfPeers[peer] = std::move(times);
        }
    }
    bool refuses(const SuspectedRequest &request, Millis now) override
    {
        return std::any_of(request.sharedParts.begin(), request.sharedParts.end(), [this, now](std::uint64_t part) {
            const auto found = this->parts.find(part);
            return found != this->parts.end() && this->logRatio(part, found->second, now) >= refusalLogRatio;
        });
    }

private:
    struct Loss
    {
        SuspectedRequest request;
        LostConnection lost;
        Millis at;
    };
    struct Part
    {
        std::map<TargetId, Millis> crashes;
        std::map<InstanceId, std::vector<Millis>> answersOfPeers;
    };

    static constexpr Millis lossTtl{5000};
    static constexpr Millis answerTtl{60000};
    static constexpr std::size_t reportedAnswers = 8;
    static constexpr double crashChanceIfGuilty = 0.99;
    static constexpr double crashChanceIfSound = 0.03;
    /** Three crashes without an answer exceed it. */
    static constexpr double refusalLogRatio = 9;

    double logRatio(std::uint64_t part, const Part &state, Millis now) const
    {
        const auto recent = [now](const std::vector<Millis> &times) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [now](Millis at) { return now - at <= answerTtl; }));
        };
        double answers = 0;
        if (const auto found = this->own.find(part); found != this->own.end()) {
            answers += recent(found->second);
        }
        for (const auto &[peer, times] : state.answersOfPeers) {
            answers += recent(times);
        }
        return static_cast<double>(state.crashes.size()) * std::log(crashChanceIfGuilty / crashChanceIfSound)
            + answers * std::log((1 - crashChanceIfGuilty) / (1 - crashChanceIfSound));
    }

    std::vector<Loss> losses;
    std::map<std::uint64_t, Part> parts;
    std::map<std::uint64_t, std::vector<Millis>> own;
};

} // namespace

std::unique_ptr<CrashJudge> makeCrashJudge(CrashJudgement way)
{
    if (way == CrashJudgement::LikelihoodRatio) {
        return std::make_unique<LikelihoodJudge>();
    }
    RequestQuarantineSettings settings;
    if (way == CrashJudgement::CountAlone) {
        settings.answeredPartCrashThreshold = settings.crashThreshold;
    }
    return std::make_unique<QuarantineJudge>(settings, way);
}

} // namespace Sequoiausher
