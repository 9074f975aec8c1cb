// The ways to tell that a service had a single software version side by side, at gateways that read the store, follow a
// hub that reads it, or follow one that follows it: how often a stream of a new version goes on at the old one beside a
// gateway that is out of step, and how many streams are refused, and held for how long, with one version in a calm
// fleet. In all draws nobody who has a record of the stream answers. The first three ways decide at
// once.

#include "lab/model/eventqueue.h"
#include "sequoiausher/coordination/gateway/storeduty.h"
#include "sequoiausher/coordination/gateway/versionhistory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace Sequoiausher;

namespace {

constexpr int draws = 2000;
/** With one version in a calm fleet a refusal is rare, for a stream of which nobody has a record. */
constexpr int mostRefused = draws / 100;
constexpr Millis span{30000};
/** The history of the list before the part that is played. */
constexpr Millis start{100000};
constexpr Millis storeWait{250};
constexpr Millis reportInterval{300};
/** Until then others may have the record; hubs are asked after it. */
constexpr Millis answerTimeout{150};
constexpr Millis askInterval{150};
constexpr Millis longestHold{1000};
constexpr Revision before = 1;
constexpr Revision after = 2;
const PoolId engines{"llm"};

enum class Way {
    /** The former rule: anything was heard within two seconds. */
    Contact,
    ProofAgeTwoSeconds,
    ProofAgeOneSecond,
    /** The question waits until the list is proven up to it. */
    WaitsForReports,
    /** The same, and hubs are asked meanwhile. */
    AsksForProof,
};
constexpr auto ways = std::to_array(
    {Way::Contact, Way::ProofAgeTwoSeconds, Way::ProofAgeOneSecond, Way::WaitsForReports, Way::AsksForProof});

enum class Condition {
    Calm,
    /** It stands still until the question comes, which it may read before what waits in its sockets. */
    StoodStill,
    /** Nothing reaches it for a while around the question; what was sent arrives at the end. */
    CutOff,
};

struct Draw
{
    Way way = Way::Contact;
    Condition condition = Condition::Calm;
    /** Steps from the store to the gateway: 0 where it reads the store. */
    std::size_t steps = 0;
    bool joinsNew = false;
    std::uint64_t seed = 0;
};

struct Result
{
    OriginFindingKind kind = OriginFindingKind::Unknown;
    Millis held;
};

/** A chain of gateways from the one that reads the store to the one that is asked. */
class Play
{
public:
    explicit Play(const Draw &of) : draw(of), random(of.seed)
    {
        this->askedAt = start + this->upTo(5000, 5300);
        const Millis lasts = this->upTo(300, 3000);
        if (this->draw.condition != Condition::Calm) {
            this->heldFrom = this->askedAt - lasts;
            this->heldUntil = this->askedAt;
        }
        if (this->draw.condition == Condition::CutOff) {
            this->heldUntil += this->upTo(1, 2000);
        }
        if (this->draw.joinsNew) {
            // The stream lasts for some of this time, and its caller comes back at once.
            this->joinsAt = this->askedAt - this->upTo(30, 1500);
        }
        this->nodes.resize(this->draw.steps + 1);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            this->nodes[i].duty.emplace(StoreDutySettings{}, i);
            this->nodes[i].duty->recordListRevision(before);
        }
        this->history.setTargets({this->target("v1")}, Millis{1});
        for (Millis at{1}; at < start; at += Millis{1000}) {
            this->history.recordProof(at);
        }
    }

    Result run()
    {
        this->callStore(start);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            this->report(i, start + this->upTo(0, 300), false);
        }
        // What waits in the sockets is read before the question or after it.
        const bool isFirst = this->random() % 2 == 0;
        this->at(isFirst ? this->askedAt : this->askedAt + Millis{1}, [this](Millis now) { this->question(now); });
        this->events.run();
        return this->result.value_or(Result{});
    }

private:
    struct Node
    {
        std::optional<StoreDuty> duty;
        Revision position = before;
        /** The newest report of the gateway before and after it in the chain. */
        Millis fromBefore;
        Millis fromAfter;
    };

    void at(Millis when, std::function<void(Millis now)> act)
    {
        if (when <= this->askedAt + longestHold + Millis{10}) {
            this->events.at(static_cast<double>(when.count), [when, act = std::move(act)] { act(when); });
        }
    }

    Millis upTo(int least, int most)
    {
        return Millis{std::uniform_int_distribution<int>(least, most)(this->random)};
    }

    static GatewayTarget target(const std::string &version)
    {
        GatewayTarget made;
        made.id.value = "i-" + version;
        made.service = engines;
        made.softwareVersion = version;
        return made;
    }

    /** When something reaches a gateway that is sent at that moment from or to it. */
    Millis arrival(Millis sentAt, std::size_t node, std::size_t other)
    {
        const Millis at = sentAt + this->upTo(1, 20);
        const std::size_t last = this->nodes.size() - 1;
        const bool isHeld = (node == last || other == last) && at >= this->heldFrom && sentAt < this->heldUntil;
        return isHeld ? this->heldUntil + Millis{1} : at;
    }

    bool standsStill(std::size_t node, Millis now) const
    {
        return this->draw.condition == Condition::StoodStill && node + 1 == this->nodes.size() && now >= this->heldFrom
            && now < this->heldUntil;
    }

    void callStore(Millis at)
    {
        this->at(at, [this](Millis startedAt) {
            if (this->standsStill(0, startedAt)) {
                this->callStore(this->heldUntil + Millis{1});
                return;
            }
            const Millis reached = startedAt + this->upTo(1, 20);
            const bool hasNew = this->joinsAt && *this->joinsAt <= reached + storeWait;
            const bool isNews = hasNew && this->nodes[0].position == before;
            const Millis answeredAt = isNews ? std::max(reached, *this->joinsAt) : reached + storeWait;
            const Millis asOf = isNews ? startedAt : startedAt + storeWait;
            const Millis readAt = this->arrival(answeredAt, 0, 0);
            this->at(readAt, [this, asOf, position = hasNew ? after : before](Millis now) {
                this->learn(0, position);
                this->nodes[0].duty->recordStoreRevision(position, asOf);
                this->nodes[0].duty->recordListRevision(position);
                this->heard(0, now);
                this->callStore(now);
            });
        });
    }

    void report(std::size_t from, Millis at, bool isExtra)
    {
        this->at(at, [this, from, isExtra](Millis now) {
            if (!this->standsStill(from, now)) {
                if (from > 0) {
                    this->sendReport(from, from - 1, now, isExtra);
                }
                if (from + 1 < this->nodes.size() && !isExtra) {
                    this->sendReport(from, from + 1, now, false);
                }
            }
            if (!isExtra) {
                this->report(from, now + reportInterval, false);
            }
        });
    }

    void sendReport(std::size_t from, std::size_t to, Millis now, bool wantsReply)
    {
        Node &sender = this->nodes[from];
        PeerStoreReport report;
        report.age = sender.duty->knowledgeAge(now);
        report.echo = to > from ? sender.fromAfter : sender.fromBefore;
        report.isFromHub = to > from;
        report.readsStore = from == 0;
        report.revision = sender.position;
        this->at(this->arrival(now, to, from), [this, from, to, report, now, wantsReply](Millis readAt) {
            Node &receiver = this->nodes[to];
            Millis &newest = to > from ? receiver.fromBefore : receiver.fromAfter;
            newest = std::max(newest, now);
            if (to > from) {
                receiver.duty->recordPeerReport(report, readAt);
            } else if (report.revision < receiver.position) {
                this->at(this->arrival(readAt, from, to), [this, from, position = receiver.position](Millis then) {
                    this->learn(from, position);
                    this->heard(from, then);
                });
            }
            if (wantsReply) {
                this->sendReport(to, from, readAt, false);
            }
            this->heard(to, readAt);
        });
    }

    void learn(std::size_t node, Revision position)
    {
        this->nodes[node].position = std::max(this->nodes[node].position, position);
    }

    void heard(std::size_t node, Millis now)
    {
        this->nodes[node].duty->recordListRevision(this->nodes[node].position);
        if (node + 1 < this->nodes.size()) {
            return;
        }
        this->contactAt = now;
        if (this->nodes[node].position == after) {
            this->history.setTargets({this->target("v1"), this->target("v2")}, now);
        }
        this->history.recordProof(this->nodes[node].duty->knownUpTo());
        this->conclude(now);
    }

    void question(Millis now)
    {
        this->asked = now;
        this->conclude(now);
        if (!this->result && this->draw.way == Way::AsksForProof && this->nodes.size() > 1) {
            for (Millis at = now + answerTimeout; at < now + longestHold; at += askInterval) {
                this->report(this->nodes.size() - 1, at, true);
            }
        }
    }

    void conclude(Millis now)
    {
        if (!this->asked || this->result || now > *this->asked + longestHold) {
            return;
        }
        const Millis proof = this->history.provenUpTo();
        const Millis from = *this->asked - span;
        const bool waits = this->draw.way >= Way::WaitsForReports;
        OriginFindingKind kind = this->history.findOnly(engines, {from, *this->asked}, now).kind;
        if (!waits && kind != OriginFindingKind::Several) {
            const bool holds = this->draw.way == Way::Contact ? now - this->contactAt <= Millis{2000}
                : this->draw.way == Way::ProofAgeTwoSeconds   ? now - proof <= Millis{2000}
                                                              : now - proof <= Millis{1000};
            kind = holds ? OriginFindingKind::Only : OriginFindingKind::Unknown;
        }
        if (!waits || kind != OriginFindingKind::Unknown) {
            this->result = Result{kind, now - *this->asked};
        }
    }

    Draw draw;
    std::mt19937_64 random;
    EventQueue events;
    std::vector<Node> nodes;
    VersionHistory history;
    Millis askedAt;
    Millis heldFrom = Millis::never();
    Millis heldUntil;
    std::optional<Millis> joinsAt;
    Millis contactAt;
    std::optional<Millis> asked;
    std::optional<Result> result;
};

struct Sums
{
    int only = 0;
    int refused = 0;
    Millis median;
    Millis longest;
};

Sums playAll(Draw draw)
{
    Sums sums;
    std::vector<Millis> held;
    for (draw.seed = 1; draw.seed <= draws; ++draw.seed) {
        const Result result = Play(draw).run();
        sums.only += result.kind == OriginFindingKind::Only ? 1 : 0;
        sums.refused += result.kind != OriginFindingKind::Only ? 1 : 0;
        if (result.kind == OriginFindingKind::Only) {
            held.push_back(result.held);
        }
    }
    if (!held.empty()) {
        std::sort(held.begin(), held.end());
        sums.median = held[held.size() / 2];
        sums.longest = held.back();
    }
    return sums;
}

} // namespace

TEST_CASE("the kept way joins no two versions, and refuses few streams of a single one in a calm fleet")
{
    for (const std::size_t steps : {0, 1, 2}) {
        for (const Way way : ways) {
            CAPTURE(steps);
            CAPTURE(static_cast<int>(way));
            const int calm = playAll({way, Condition::Calm, steps, true}).only;
            const int stoodStill = playAll({way, Condition::StoodStill, steps, true}).only;
            const int cutOff = playAll({way, Condition::CutOff, steps, true}).only;
            const Sums single = playAll({way, Condition::Calm, steps, false});
            const Sums outOfStep = playAll({way, Condition::CutOff, steps, false});
            MESSAGE("steps ",
                    steps,
                    " way ",
                    static_cast<int>(way),
                    ": joined of ",
                    draws,
                    " calm ",
                    calm,
                    ", stood still ",
                    stoodStill,
                    ", cut off ",
                    cutOff,
                    "; one version calm: refused ",
                    single.refused,
                    ", held ",
                    single.median.count,
                    " to ",
                    single.longest.count,
                    " ms; cut off: refused ",
                    outOfStep.refused);
            if (way == Way::AsksForProof) {
                CHECK(calm + stoodStill + cutOff == 0);
                CHECK(single.refused <= mostRefused);
            } else if (way == Way::WaitsForReports) {
                CHECK(calm + stoodStill + cutOff == 0);
            } else {
                CHECK(stoodStill + cutOff > 0);
            }
        }
    }
}
