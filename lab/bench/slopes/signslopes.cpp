#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/transport/peers/receivedframes.h"
#include "sequoiausher/transport/peers/sentframes.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace Sequoiausher {

namespace {

// docs/CAPACITY.md: what one router of 1,300 sends, and how shards fall on them.
constexpr double routers = 1300;
constexpr double shards = 630;
constexpr double requestsPerSecond = 28.47;
constexpr double claimsPerSecond = 28.5;
constexpr double probesPerSecond = 3.0;
constexpr double reportsPerSecond = 57.2;
constexpr std::array<double, 4> ownersOfShards{0.616, 0.299, 0.072, 0.013};
constexpr double frameHeaders = 52 + 4;
constexpr Millis silence{3000};

/** What goes from one router to another. */
struct Rates
{
    /** Messages that the other answers at once. */
    double asking = 0;
    /** Messages that need no answer. */
    double telling = 0;
};

Rates ratesTo(std::size_t shardsOfPeer)
{
    const double share = static_cast<double>(shardsOfPeer) / shards;
    return {requestsPerSecond * share + (claimsPerSecond + probesPerSecond) / routers,
            (requestsPerSecond + reportsPerSecond) * share};
}

/** Two routers that talk both ways, in simulated time. */
class Pair
{
public:
    Pair(const Rates &first, const Rates &second, std::uint64_t seed) : random(seed)
    {
        this->rates = {first, second};
        for (std::size_t side = 0; side < 2; ++side) {
            this->received.at(side).opened(1, this->sent.at(side).last());
        }
    }

    /** Signs of life and questions both ways in that time. */
    std::uint64_t run(Millis span)
    {
        std::array<Millis, 4> next{};
        for (std::size_t kind = 0; kind < next.size(); ++kind) {
            next.at(kind) = this->wait(kind);
        }
        while (true) {
            const auto first = std::min_element(next.begin(), next.end());
            if (*first >= span) {
                return this->signs;
            }
            this->keepTimers(*first);
            const auto kind = static_cast<std::size_t>(first - next.begin());
            this->say(kind % 2, *first);
            if (kind < 2) {
                this->say(1 - kind, *first + Millis{1});
            }
            *first += this->wait(kind);
        }
    }

private:
    Millis wait(std::size_t kind)
    {
        const Rates &rate = this->rates.at(kind % 2);
        const double perSecond = std::max(kind < 2 ? rate.asking : rate.telling, 1e-9);
        constexpr double millisPerSecond = 1000;
        return Millis{1
                      + static_cast<std::int64_t>(std::exponential_distribution<double>(perSecond)(this->random)
                                                  * millisPerSecond)};
    }

    void say(std::size_t from, Millis now)
    {
        this->sent.at(from).frame(now);
        this->received.at(from).arrived(now);
        // What rides on the frame: the frames of the other side that came here.
        const std::size_t other = 1 - from;
        this->sent.at(other).acknowledged(now, this->received.at(other).tell());
    }

    /** Signs of life and questions that fall due before now; nothing else happens in between. */
    void keepTimers(Millis now)
    {
        for (std::size_t side = 0; side < 2; ++side) {
            const Millis due = this->received.at(side).tellBy(silence);
            const Millis asks = this->sent.at(side).nextDeadline();
            if (std::min(due, asks) > now) {
                continue;
            }
            this->signs += due <= asks ? 1 : 2;
            this->sent.at(side).answered(std::min(due, asks), this->received.at(side).tell());
        }
    }

    std::mt19937_64 random;
    std::array<Rates, 2> rates;
    /** By the side that sends. */
    std::array<SentFrames, 2> sent{SentFrames(silence), SentFrames(silence)};
    std::array<ReceivedFrames, 2> received;
    std::uint64_t signs = 0;
};

} // namespace

void measureSigns()
{
    constexpr std::int64_t seconds = 200000;
    constexpr double millisPerSecond = 1000;
    double average = 0;
    double ownerOfOne = 0;
    for (std::size_t own = 0; own < ownersOfShards.size(); ++own) {
        for (std::size_t peer = 0; peer < ownersOfShards.size(); ++peer) {
            Pair pair(ratesTo(peer), ratesTo(own), own * ownersOfShards.size() + peer + 1);
            const auto signs = static_cast<double>(pair.run(Millis{seconds * static_cast<int>(millisPerSecond)}));
            const double perSecond = signs / static_cast<double>(seconds) * ownersOfShards.at(peer) * (routers - 1);
            average += perSecond * ownersOfShards.at(own);
            ownerOfOne += own == 1 ? perSecond : 0;
        }
    }
    printFigure("link_signs_per_s_1300_both_ways", average, "signs/s");
    printFigure("link_signs_bytes_per_s_1300_both_ways", average * frameHeaders, "bytes/s");
    printFigure("link_signs_bytes_per_s_1300_owner_of_one", ownerOfOne * frameHeaders, "bytes/s");
}

} // namespace Sequoiausher
