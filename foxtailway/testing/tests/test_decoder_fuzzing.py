import json
from contextlib import redirect_stdout
from io import StringIO
from unittest import TestCase
from unittest.mock import patch

from foxtailway.testing import decoder_fuzzing
from foxtailway.testing.decoder_fuzzing import (
    DecoderCase,
    check_case,
    find_cases,
    main,
)

N_EXAMPLES = 100
FRAGILE_CASE = DecoderCase(
    name="fragile",
    samples=({"a": [1, 2]},),
    encode=lambda value: json.dumps(value).encode(),
    decode=lambda data: json.loads(data)["a"][1] + 1,
    errors=(ValueError,),
)


class DecoderFuzzingTest(TestCase):
    def test_decoders_return_or_raise_the_errors_that_their_users_handle(self) -> None:
        for case in find_cases():
            with self.subTest(case.name):
                check_case(case, n_examples=N_EXAMPLES, seed_value=17)

    def test_samples_are_valid(self) -> None:
        for case in find_cases():
            with self.subTest(case.name):
                for sample in case.samples:
                    case.decode(case.encode(sample))

    def test_decoder_with_another_error_is_found(self) -> None:
        with self.assertRaises((KeyError, IndexError, TypeError)):
            check_case(FRAGILE_CASE, n_examples=N_EXAMPLES, seed_value=3)

    def test_command_reports_findings(self) -> None:
        with (
            patch.object(decoder_fuzzing, "find_cases", lambda: (FRAGILE_CASE,)),
            redirect_stdout(StringIO()) as output,
        ):
            self.assertEqual(main(["--minutes", "0", "--seed", "3"]), 1)
        finding, report = map(json.loads, output.getvalue().splitlines())
        self.assertEqual((finding["case"], finding["seed"]), ("fragile", 3))
        self.assertEqual((report["findings"], report["rounds"]), (1, 1))
