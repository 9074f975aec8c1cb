#include "sequoiausher/transport/gateway/crashguard.h"

#include "sequoiausher/base/hashing.h"

#include <vector>

namespace Sequoiausher {

namespace {

constexpr int statusUnavailable = 503;
constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;
constexpr int firstFailure = 500;
/** A target that lives on for this long after the first part of an answer was not crashed by the prompt. */
constexpr Millis beginningTime{250};

/** The parts that other requests share; the last one is the request's own. */
std::vector<std::uint64_t> sharedPartsOf(const CallerRequest &request)
{
    std::vector<std::uint64_t> shared;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        shared.push_back(hash64(request.parts[i].id));
    }
    return shared;
}

template<typename Items, typename Text>
std::string joined(const Items &items, const Text &textOf)
{
    std::string text;
    for (const auto &item : items) {
        text += (text.empty() ? "" : " ") + textOf(item);
    }
    return text;
}

} // namespace

CrashGuard::CrashGuard(GatewayContext &shared) : context(shared)
{
}

void CrashGuard::begin(const AdmittedRequest &admitted, std::string_view path, std::string_view body)
{
    this->attemptId = admitted.request.attemptId;
    this->request = describeRequest(admitted.organisation, path, body, sharedPartsOf(admitted.request));
}

std::optional<GatewayRefusal> CrashGuard::refusal(Millis now) const
{
    const std::optional<QuarantineRefusal> found = this->context.quarantine.refusal(this->request, now);
    if (!found) {
        return std::nullopt;
    }
    const bool isPart = found->suspect.kind == SuspectKind::PromptPart;
    this->context.metrics.add("gateway_quarantine_refusals_total");
    this->context.log.info(LogPart::Entry,
                           "request refused because targets ended under it",
                           {{"request", this->attemptId},
                            {"suspect", std::string(nameOf(found->suspect.kind))},
                            {"prompt_part", isPart ? loggedPart(found->suspect.content) : ""},
                            {"pending", found->isPending ? "yes" : "no"},
                            {"targets", joined(found->targets, [](const TargetId &ended) { return ended.value; })},
                            {"wait_ms", std::to_string(found->wait.count)}});
    return GatewayRefusal{statusUnavailable,
                          isPart ? "targets ended under a part of the prompt" : "targets ended under this request",
                          found->wait,
                          Outcome::RefusedInvalid};
}

void CrashGuard::recordSent(const GatewayTarget &to, Millis now)
{
    this->target = to;
    this->sentAt = now;
    this->firstPartAt.reset();
    this->isPromptRead = false;
    this->hasLostTarget = false;
}

void CrashGuard::recordPart(Millis now)
{
    this->firstPartAt = this->firstPartAt.value_or(now);
    if (!this->isPromptRead && now - *this->firstPartAt > beginningTime) {
        this->isPromptRead = true;
        this->context.quarantine.recordPromptRead(this->request, now);
    }
}

void CrashGuard::recordLostTarget(Millis now)
{
    // A target that leaves ends as planned, so its end indicates nothing about the request.
    if (!this->context.board.isStaying(this->target.id)) {
        return;
    }
    this->hasLostTarget = true;
    const bool hasBegun = this->firstPartAt && now - *this->firstPartAt > beginningTime;
    this->context.quarantine.recordLostConnection(this->request, {this->target.id, this->sentAt, hasBegun}, now);
    this->context.lifeChecks.begin(this->target, now);
    this->context.log.info(LogPart::Entry,
                           "connection lost with a request in flight",
                           {{"request", this->attemptId},
                            {"target", this->target.id.value},
                            {"fingerprint", this->fingerprintText()},
                            {"prompt_parts", joined(this->request.sharedParts, loggedPart)},
                            {"ran_ms", std::to_string((now - this->sentAt).count)},
                            {"begun", hasBegun ? "yes" : "no"}});
}

void CrashGuard::recordAnswer(int status, Millis now)
{
    if (status >= firstFailure) {
        return;
    }
    SuspectedRequest answered = this->request;
    // Only a success shows that the target read the prompt and wrote an answer on it.
    if (status < firstSuccess || status >= firstRedirection) {
        answered.sharedParts.clear();
    }
    this->context.quarantine.recordAnswer(answered, now);
}

bool CrashGuard::mayRetry(Millis now) const
{
    return !this->context.quarantine.refusal(this->request, now)
        && (!this->hasLostTarget || this->context.quarantine.mayRetry(this->request, now));
}

std::string CrashGuard::fingerprintText() const
{
    return toText(this->request.fingerprint);
}

} // namespace Sequoiausher
