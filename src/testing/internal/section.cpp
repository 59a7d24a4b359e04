#include "testing/section.h"

#include <cppunit/Exception.h>

namespace tanager::testing {

void section(const std::string& title, const std::function<void()>& body)
{
    try {
        body();
    } catch (const CppUnit::Exception& failure) {
        CppUnit::Message message = failure.message();
        message.addDetail("in section: " + title);
        throw CppUnit::Exception(message, failure.sourceLine());
    }
}

} // namespace tanager::testing
