#pragma once

// JSON text for the hot path of a stand-in, where building a document for each token would cost too much.
//
//     text += jsonString("say \"x\"");

#include <string>
#include <string_view>

namespace Sequoiausher::Lab {

/** text as a JSON string, with its quotes. */
std::string jsonString(std::string_view text);

} // namespace Sequoiausher::Lab
