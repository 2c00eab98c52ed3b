use super::serve;

fn fault(input: &str) -> String {
    let mut written = Vec::new();
    let fault = serve(input.as_bytes(), &mut written).unwrap_err();
    assert!(written.is_empty(), "nothing half-written");
    fault
}

#[test]
fn bad_lines_are_named() {
    let batch =
        |line: &str| format!("{{\"BeginBatch\":{{\"moment_ms\":1.0}}}}\n{line}\n{{\"Commit\":{{}}}}\n");
    let faults = [
        fault("nonsense\n"),
        fault("{\"Commit\":{}}\n"),
        fault("{\"Call\":{\"i\":0}}\n"),
        fault(&batch("{\"Call\":{\"ticket\":\"00\"}}")),
        fault(&batch("{\"Call\":{\"i\":0,\"ticket\":\"0000000000000001\"}}")),
        fault(&batch("{\"Init\":{\"i\":0,\"init_seed\":1,\"facts\":{}}}")),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn an_empty_batch_and_the_end_of_input_are_clean() {
    let mut written = Vec::new();
    serve("{\"BeginBatch\":{\"moment_ms\":1.0}}\n{\"Commit\":{}}\n".as_bytes(), &mut written).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), "{\"Yield\":{}}\n");
}
