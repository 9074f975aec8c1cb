#include "lab/load/loadplan.h"

#include "sequoiausher/base/error.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** text without what would have to be escaped in JSON. */
std::string plainText(const std::string &text)
{
    std::string plain;
    std::copy_if(text.begin(), text.end(), std::back_inserter(plain), [](char c) {
        return c >= ' ' && c <= '~' && c != '"' && c != '\\';
    });
    return plain;
}

std::string message(const std::string &role, const std::string &content)
{
    return R"({"role":")" + role + R"(","content":")" + content + "\"}";
}

/** A chat under way. */
struct Chat
{
    std::string id;
    /** The messages so far, as members of a JSON array. */
    std::string history;
    std::size_t turn = 0;
};

} // namespace

LoadOrganisation parseOrganisation(const std::string &text)
{
    const std::size_t first = text.find(':');
    if (first == std::string::npos || first == 0) {
        throw Error(Step::Settings, text, "expected NAME:KEY or NAME:KEY:WEIGHT");
    }
    const std::size_t second = text.find(':', first + 1);
    LoadOrganisation organisation;
    organisation.name = text.substr(0, first);
    organisation.key = text.substr(first + 1, second == std::string::npos ? second : second - first - 1);
    if (second != std::string::npos) {
        try {
            organisation.weight = std::stod(text.substr(second + 1));
        } catch (const std::exception &) {
            throw Error(Step::Settings, text, "the weight is not a number");
        }
    }
    return organisation;
}

/** The generator and the chats. */
class LoadPlan::Private
{
public:
    Private(LoadPlanOptions given, std::size_t number)
        : options(std::move(given))
        , worker("w" + std::to_string(this->options.seed) + "-" + std::to_string(number))
        , random(this->options.seed * 1000003 + number)
        , chats(this->options.organisations.size(), std::vector<Chat>(std::max<std::size_t>(1, this->options.chats)))
    {
        std::vector<double> weights;
        for (const LoadOrganisation &organisation : this->options.organisations) {
            weights.push_back(organisation.weight);
        }
        this->pickOrganisation = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        this->pickClass = std::discrete_distribution<std::size_t>(this->options.classWeights.begin(),
                                                                  this->options.classWeights.end());
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    void startChat(Chat &chat)
    {
        chat.id = this->worker + "-c" + std::to_string(++this->chatCount);
        chat.turn = 0;
        std::string words = "system";
        for (std::size_t i = 0; i < this->options.promptWords; ++i) {
            words += " " + chat.id + "p" + std::to_string(i);
        }
        chat.history = message("system", words);
    }

    void fillChat(PlannedRequest &request)
    {
        request.chatSlot = this->below(this->chats[request.organisation].size());
        Chat &chat = this->chats[request.organisation][request.chatSlot];
        if (chat.id.empty() || chat.turn >= this->options.turns) {
            this->startChat(chat);
        }
        request.chat = chat.id;
        request.stream = this->chance(this->options.streamShare);
        request.body = R"({"model":")" + this->options.model + R"(","max_tokens":)"
            + std::to_string(this->options.tokens) + R"(,"stream":)" + (request.stream ? "true" : "false")
            + R"(,"messages":[)" + chat.history + "," + message("user", "go on " + request.nonce) + "]}";
    }

    LoadPlanOptions options;
    std::string worker;
    std::mt19937_64 random;
    std::vector<std::vector<Chat>> chats;
    std::discrete_distribution<std::size_t> pickOrganisation;
    std::discrete_distribution<std::size_t> pickClass;
    std::uint64_t chatCount = 0;
    std::uint64_t requestCount = 0;
};

LoadPlan::LoadPlan(LoadPlanOptions options, std::size_t worker)
    : d(std::make_unique<Private>(std::move(options), worker))
{
}

LoadPlan::~LoadPlan() = default;
LoadPlan::LoadPlan(LoadPlan &&) noexcept = default;
LoadPlan &LoadPlan::operator=(LoadPlan &&) noexcept = default;

PlannedRequest LoadPlan::next()
{
    PlannedRequest request;
    request.organisation = this->d->pickOrganisation(this->d->random);
    request.requestClass = static_cast<RequestClass>(this->d->pickClass(this->d->random));
    request.nonce = this->d->worker + "-" + std::to_string(++this->d->requestCount);
    const std::size_t urls = this->d->options.urls.size();
    request.url = this->d->below(urls);
    request.service = this->d->chance(this->d->options.serviceShare);
    if (request.service) {
        request.stream = false;
        request.body = R"({"nonce":")" + request.nonce + "\"}";
    } else {
        this->d->fillChat(request);
    }
    if (this->d->chance(this->d->options.keyedShare)) {
        request.idempotencyKey = "key-" + request.nonce;
        request.sendTwice = this->d->chance(this->d->options.duplicateShare);
        request.duplicateUrl = urls > 1 ? (request.url + 1 + this->d->below(urls - 1)) % urls : request.url;
    }
    return request;
}

void LoadPlan::answered(const PlannedRequest &request, const std::string &answer)
{
    Chat &chat = this->d->chats[request.organisation][request.chatSlot];
    if (request.service || chat.id != request.chat) {
        return;
    }
    ++chat.turn;
    chat.history += "," + message("user", "go on " + request.nonce) + "," + message("assistant", plainText(answer));
}

double LoadPlan::nextGap(double rate)
{
    return std::exponential_distribution<double>(rate)(this->d->random);
}

} // namespace Sequoiausher::Lab
