#include "lab/support/jsontext.h"

namespace Sequoiausher::Lab {

std::string jsonString(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            quoted += "\\u00";
            quoted += digits[static_cast<unsigned char>(c) >> 4U];
            quoted += digits[static_cast<unsigned char>(c) & 0xfU];
        } else {
            quoted += c;
        }
    }
    return quoted + "\"";
}

} // namespace Sequoiausher::Lab
