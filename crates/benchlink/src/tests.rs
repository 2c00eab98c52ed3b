use super::serve;

fn serve_error(input: &str) -> String {
    let mut written = Vec::new();
    let error = serve(input.as_bytes(), &mut written).unwrap_err();
    assert!(written.is_empty(), "no partial reply is written");
    error
}

#[test]
fn invalid_messages_are_reported_with_their_line() {
    let batch =
        |line: &str| format!("{{\"BeginBatch\":{{\"moment_ms\":1.0}}}}\n{line}\n{{\"Commit\":{{}}}}\n");
    let errors = [
        serve_error("nonsense\n"),
        serve_error("{\"Commit\":{}}\n"),
        serve_error("{\"Call\":{\"i\":0}}\n"),
        serve_error(&batch("{\"Call\":{\"ticket\":\"00\"}}")),
        serve_error(&batch("{\"Call\":{\"i\":0,\"ticket\":\"0000000000000001\"}}")),
        serve_error(&batch("{\"Init\":{\"i\":0,\"init_seed\":1,\"facts\":{}}}")),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn an_empty_batch_and_the_end_of_input_are_handled_without_an_error() {
    let mut written = Vec::new();
    serve("{\"BeginBatch\":{\"moment_ms\":1.0}}\n{\"Commit\":{}}\n".as_bytes(), &mut written).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), "{\"Yield\":{}}\n");
}
