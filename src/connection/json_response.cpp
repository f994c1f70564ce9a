#include <oleandergrade/connection/json_response.hpp>

#include <boost/json/serialize.hpp>

namespace oleandergrade
{

http_response json_response(unsigned status, const boost::json::object& body)
{
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace oleandergrade
