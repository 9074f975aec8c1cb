#include "sequoiausher/transport/gateway/streamoriginfinder.h"

#include <algorithm>
#include <utility>

namespace Sequoiausher {

namespace {

/** A caller takes a stream up no later than this after it began, or than some times the route's timeout. */
constexpr Millis minOriginSpan{30000};
constexpr std::int64_t originSpanTimeouts = 2;
/** A request waits for at most its remaining time divided by this until it is known that there was one version. */
constexpr std::int64_t mostHeldDivisor = 4;
/** The origin of a stream is kept for so long beyond the time that its caller waits. */
constexpr Millis originGrace{1000};

} // namespace

StreamOriginFinder::StreamOriginFinder(GatewayContext &shared) : context(shared)
{
}

void StreamOriginFinder::find(const AdmittedRequest &admitted, Millis now, Found found)
{
    const Millis span = std::max(minOriginSpan, admitted.route->timeout * originSpanTimeouts);
    const std::string &attempt = admitted.request.resumedAttempt;
    this->isFinding = true;
    const auto answered
        = [this, alive = std::weak_ptr(this->life), found = std::move(found)](const OriginFinding &finding) {
              if (!alive.expired() && this->isFinding) {
                  this->finish(finding, found);
              }
          };
    const Millis mostHeld = (admitted.deadline - now) / mostHeldDivisor;
    const OriginQuestion question{streamKeyOf(admitted.organisation, attempt), admitted.service, span, mostHeld};
    if (attempt.empty()) {
        this->context.origins.findOnly(question, now, answered);
        return;
    }
    this->context.sendToPeers(this->context.origins.find(question, now, answered));
}

void StreamOriginFinder::finish(const OriginFinding &finding, const Found &found)
{
    this->isFinding = false;
    this->text = std::string(nameOf(finding.kind));
    if (finding.kind == OriginFindingKind::Recorded || finding.kind == OriginFindingKind::Only) {
        this->softwareVersion = finding.softwareVersion;
    }
    found(finding);
}

void StreamOriginFinder::recordBeginning(const AdmittedRequest &admitted, const GatewayTarget &target, Millis now)
{
    this->softwareVersion = target.softwareVersion;
    if (target.softwareVersion.empty() || std::exchange(this->hasRecorded, true)) {
        return;
    }
    const Millis ttl = admitted.request.timeLeft.value_or(admitted.route->timeout) + originGrace;
    const StreamKey key = streamKeyOf(admitted.organisation, admitted.request.attemptId);
    this->context.sendToPeers(this->context.origins.record(key, {target.service, target.softwareVersion}, ttl, now));
}

const std::optional<std::string> &StreamOriginFinder::version() const
{
    return this->softwareVersion;
}

const std::string &StreamOriginFinder::findingText() const
{
    return this->text;
}

} // namespace Sequoiausher
