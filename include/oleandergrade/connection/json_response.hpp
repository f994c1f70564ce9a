/// HTTP answers with a JSON body.
#pragma once

#include <oleandergrade/connection/http_message.hpp>

#include <boost/json/object.hpp>

namespace oleandergrade
{

http_response json_response(unsigned status, const boost::json::object& body);

} // namespace oleandergrade
