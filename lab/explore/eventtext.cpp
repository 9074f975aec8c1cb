#include "lab/explore/eventtext.h"

namespace Sequoiausher::Internal {

namespace {

std::string textOf(const ClaimRequest &request)
{
    return "claim of e" + std::to_string(request.attempt.low) + ", round " + std::to_string(request.round);
}

std::string textOf(const ClaimVote &vote)
{
    return "vote '" + std::string(nameOf(vote.verdict)) + "' of round " + std::to_string(vote.round);
}

std::string textOf(const ClaimWithdraw &withdrawal)
{
    return "withdrawal of e" + std::to_string(withdrawal.attempt.low) + ", round " + std::to_string(withdrawal.round);
}

std::string textOf(const ClaimPull &)
{
    return "question for claims";
}

std::string textOf(const ClaimPage &page)
{
    return "page of " + std::to_string(page.records.size()) + " claims"
        + (page.giverAbstains || page.giverLearns ? " from one that lacks some" : "");
}

template<typename Message>
std::string textOf(const Message &)
{
    return "message";
}

std::string contentOf(const PeerMessage &message)
{
    return std::visit([](const auto &content) { return textOf(content); }, message);
}

std::string inputText(const Input &input, const HistoryNode &node, const LocalHistories &histories)
{
    switch (input.kind) {
    case InputKind::Start:
        return "starts";
    case InputKind::Begin:
        return "begins a claim";
    case InputKind::Receive:
        return "receives from " + histories.nameOf(input.from) + ": " + contentOf(histories.message(input.message));
    case InputKind::Tick:
        return "ticks";
    case InputKind::Dispatch:
        return node.answer ? "DISPATCHES" : "is too late to dispatch, and says that it did not run";
    case InputKind::Refuse:
        return node.answer ? "refuses and says that the key did not run"
                           : "refuses and says that this call did not run";
    case InputKind::ReadList:
        return "reads the next list";
    case InputKind::Restart:
        return "restarts and has forgotten everything";
    }
    return {};
}

std::string outcomeText(const HistoryNode &node)
{
    std::string text;
    for (const ClaimOutcomeKind outcome : node.outcomes) {
        text += "; outcome: " + std::string(nameOf(outcome));
    }
    return text;
}

} // namespace

std::vector<std::string> textsOf(const std::vector<Event> &events, const FleetSetup &setup, LocalHistories &histories)
{
    std::vector<std::size_t> nodes;
    for (std::size_t process = 0; process < setup.processes(); ++process) {
        nodes.push_back(histories.start(process));
    }
    std::vector<std::string> texts;
    for (const Event &event : events) {
        if (event.kind == EventKind::Wait) {
            texts.push_back(toText(event.length) + " pass");
            continue;
        }
        nodes[event.process] = histories.step(nodes[event.process], event.input);
        const HistoryNode &node = histories.node(nodes[event.process]);
        const std::string twice = event.kind == EventKind::Duplicate ? " (and will once more)" : "";
        texts.push_back(histories.nameOf(event.process) + " " + inputText(event.input, node, histories) + twice
                        + outcomeText(node));
    }
    return texts;
}

} // namespace Sequoiausher::Internal
