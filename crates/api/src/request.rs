//! Parsing of request headers, queries and bodies; every failure is a typed refusal.

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

/// Result of a route: a response or a refusal.
pub type RouteResult = Result<Response<Body>, Refusal>;

/// Parses a JSON body; the refusal names the field and the position of the error.
pub fn parse_json_body<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(request.body());
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let message = format!("the body, field '{}': {}", error.path(), error.inner());
        Refusal::not_run(Reason::BadRequest, message)
    })
}

/// Returns a header as text, if it is present.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header, if it is present.
pub fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        Refusal::not_run(Reason::BadRequest, format!("the header '{name}' cannot be read"))
    })
}

/// Returns the value of a query field, if it is present.
pub fn query_field<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let fields = request.uri().query()?.split('&');
    fields.filter_map(|field| field.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// Converts the result of a route into a response.
pub fn into_response(result: RouteResult) -> Response<Body> {
    result.unwrap_or_else(|refusal| refusal_response(&refusal))
}

/// Returns the refusal of a path or method that does not exist.
pub fn unknown_route(request: &Request<Bytes>) -> Refusal {
    let message = format!("there is nothing at {} {}", request.method(), request.uri().path());
    Refusal::not_run(Reason::NotFound, message)
}
