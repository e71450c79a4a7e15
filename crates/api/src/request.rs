//! Reading requests: headers, queries and bodies, each failure a typed refusal.

use std::str::FromStr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use kernel::http_server::Body;
use kernel::http_server::refusal_response;
use serde::de::DeserializeOwned;
use wire::Reason;
use wire::Refusal;

/// The answer of one route.
pub type Answer = Result<Response<Body>, Refusal>;

/// Parses a JSON body; an error names the field and the place.
pub fn json_body<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(request.body());
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let message = format!("the body, field '{}': {}", error.path(), error.inner());
        Refusal::not_run(Reason::BadRequest, message)
    })
}

/// Returns a header as text, if it is there.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header, if it is there.
pub fn parsed_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        Refusal::not_run(Reason::BadRequest, format!("the header '{name}' cannot be read"))
    })
}

/// Returns a query field, if it is there.
pub fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let fields = request.uri().query()?.split('&');
    fields.filter_map(|field| field.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// Turns a route's answer into a response.
pub fn into_response(answer: Answer) -> Response<Body> {
    answer.unwrap_or_else(|refusal| refusal_response(&refusal))
}

/// The refusal of a path or method that is not served.
pub fn no_route(request: &Request<Bytes>) -> Refusal {
    let message = format!("there is nothing at {} {}", request.method(), request.uri().path());
    Refusal::not_run(Reason::NotFound, message)
}
