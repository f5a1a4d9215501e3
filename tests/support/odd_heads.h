/**
 * @file odd_heads.h
 * Answers whose head isn't one (RFC 9112, sections 4 and 5).
 */
#pragma once

#include "core/text_func.h"

#include <string>
#include <vector>

namespace dunehook::test {

/** @return status lines whose status isn't one. */
inline std::vector<std::string>
OddStatusLines()
{
  std::vector<std::string> lines;
  for (const char* const status : { "000", "099", "600", "999", "20", "2000", "2x0", "" }) {
    lines.push_back(Join("HTTP/1.1 ", status, " OK\r\n"));
  }
  return lines;
}

/** @return lines of a head that are no fields, or that a field may not have. */
inline std::vector<std::string>
OddFields()
{
  const std::string nul(1, '\0');
  return { "X Odd: 1\r\n",
           "X\tOdd: 1\r\n",
           "X" + nul + "Odd: 1\r\n",
           "X\x01Odd: 1\r\n",
           "X\xC3\xA9Odd: 1\r\n",
           ": 1\r\n",
           "X-Odd\r\n",
           "X-Odd : 1\r\n",
           "Transfer-Encoding : chunked\r\n",
           "X-Odd: 1\x01\r\n",
           "X-Odd: 1" + nul + "\r\n",
           "X-Odd: 1\rX-More: 1\r\n",
           " X-Odd: 1\r\n",
           "\tX-Odd: 1\r\n",
           " \r\n",
           "X-Odd: 1\r\n continued\r\n" };
}

/**
 * @param aOwn fields that make an answer its runner's own, with their line ends.
 * @return answers with one of these, in all places of their heads.
 */
inline std::vector<std::string>
OddAnswers(const std::string& aOwn, const std::string& aBody)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = Join("Content-Length: ", aBody.size(), "\r\n");
  const std::string end = "\r\n" + aBody;
  std::vector<std::string> answers;
  for (const std::string& line : OddStatusLines()) {
    answers.push_back(Join(line, aOwn, length, end));
  }
  for (const std::string& field : OddFields()) {
    answers.push_back(Join(status, field, aOwn, length, end));
    answers.push_back(Join(status, aOwn, field, length, end));
    answers.push_back(Join(status, aOwn, length, field, end));
  }
  answers.push_back(Join(status, " ", length, aOwn, end));
  answers.push_back(Join(status, aOwn, " ", length, end));
  return answers;
}

} // namespace dunehook::test
