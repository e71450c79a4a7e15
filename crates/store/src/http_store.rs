//! The adapter for an object API over HTTP.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use kernel::http_client::CallError;
use kernel::http_client::HttpClient;
use serde::Deserialize;
use wire::Millis;
use wire::Version;

use crate::object::ListEntry;
use crate::object::MAX_VALUE_BYTES;
use crate::object::Object;
use crate::object::ObjectStore;
use crate::object::StoreError;

const VERSION_HEADER: &str = "x-version";
const EXPECTED_HEADER: &str = "x-if-version";
const WRITE_ID_HEADER: &str = "x-write-id";

/// An object API at one base URL.
pub struct HttpStore {
    client: Arc<HttpClient>,
    base_url: String,
    call_timeout: Duration,
}

#[derive(Deserialize)]
struct ListPage {
    objects: Vec<PageEntry>,
    next: Option<String>,
}

#[derive(Deserialize)]
struct PageEntry {
    key: String,
    version: u64,
}

impl HttpStore {
    /// Creates the adapter; no connection is made yet.
    pub fn new(client: Arc<HttpClient>, base_url: &str, call_timeout: Duration) -> Self {
        Self { client, base_url: base_url.trim_end_matches('/').to_owned(), call_timeout }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let url = format!("{}/v1/{path}", self.base_url);
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request =
            request.body(body).map_err(|error| StoreError::Unavailable(error.to_string()))?;
        let response = self.client.call(request, timeout).await.map_err(to_store_error)?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge { size: 0 }),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable("the API answered 503".to_owned()))
            }
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(response),
            status => Err(StoreError::Unknown(format!("the API answered {status}"))),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("objects/{key}");
        let response = self.call(Method::GET, &path, &[], Bytes::new(), self.call_timeout).await?;
        to_object(response)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
        write_id: &str,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        let headers =
            [(EXPECTED_HEADER, expected.0.to_string()), (WRITE_ID_HEADER, write_id.to_owned())];
        let path = format!("objects/{key}");
        let response = self.call(Method::PUT, &path, &headers, value, self.call_timeout).await?;
        parse_version(response.headers())
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        let headers = [(EXPECTED_HEADER, expected.0.to_string())];
        let path = format!("objects/{key}");
        self.call(Method::DELETE, &path, &headers, Bytes::new(), self.call_timeout).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ListEntry>, StoreError> {
        let mut listed = Vec::new();
        let mut after = String::new();
        loop {
            let path = format!("list?prefix={prefix}&after={after}");
            let response =
                self.call(Method::GET, &path, &[], Bytes::new(), self.call_timeout).await?;
            let page: ListPage = serde_json::from_slice(response.body())
                .map_err(|error| malformed(prefix, &error.to_string()))?;
            let entries = page.objects.into_iter();
            listed.extend(entries.map(|e| ListEntry { key: e.key, version: Version(e.version) }));
            match page.next {
                Some(next) => after = next,
                None => return Ok(listed),
            }
        }
    }

    async fn watch(
        &self,
        key: &str,
        known: Version,
        wait_ms: Millis,
    ) -> Result<Option<Object>, StoreError> {
        let path = format!("objects/{key}?known={}&wait_ms={wait_ms}", known.0);
        let timeout = self.call_timeout + Duration::from_millis(wait_ms);
        let response = self.call(Method::GET, &path, &[], Bytes::new(), timeout).await?;
        to_object(response)
    }
}

fn to_object(response: Response<Bytes>) -> Result<Option<Object>, StoreError> {
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let version = parse_version(response.headers())?;
    let write_id = response.headers().get(WRITE_ID_HEADER).and_then(|id| id.to_str().ok());
    let write_id = write_id.unwrap_or_default().to_owned();
    Ok(Some(Object { version, write_id, value: response.into_body() }))
}

fn parse_version(headers: &HeaderMap) -> Result<Version, StoreError> {
    headers
        .get(VERSION_HEADER)
        .and_then(|text| text.to_str().ok()?.parse().ok())
        .map(Version)
        .ok_or_else(|| StoreError::Unknown("the answer names no version".to_owned()))
}

fn malformed(key: &str, message: &str) -> StoreError {
    StoreError::Malformed { key: key.to_owned(), message: message.to_owned() }
}

fn to_store_error(error: CallError) -> StoreError {
    match error {
        CallError::Connect(message) => StoreError::Unavailable(message),
        CallError::Lost(message) => StoreError::Unknown(message),
        CallError::TimedOut => StoreError::Unknown("no answer in time".to_owned()),
    }
}
